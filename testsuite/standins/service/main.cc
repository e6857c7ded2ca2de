#include <boost/json.hpp>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>

#include "base/sleep.h"
#include "standins/common/run_standin.h"

namespace {

using namespace verbenalead;
namespace json = boost::json;

/// Counts the calls that ran, which tests compare with the reported outcomes.
struct Service {
  std::mutex m_mutex;
  std::map<std::string, int64_t> m_runs_by_key;
  int64_t m_runs = 0;
};

wire::Response Run(Service& service, const wire::Request& request) {
  std::lock_guard lock(service.m_mutex);
  if (request.m_path == "/runs") {
    json::object runs;
    for (const auto& [key, count] : service.m_runs_by_key)
      runs[key] = count;
    return wire::JsonResponse(200, json::serialize(runs));
  }
  if (request.m_path == "/healthz")
    return {200, {}, "ok"};
  ++service.m_runs;
  const std::string key = wire::Get(request.m_headers, "idempotency-key");
  if (!key.empty())
    ++service.m_runs_by_key[key];
  const std::string status = wire::QueryValue(request, "status");
  wire::Response response =
      wire::JsonResponse(status.empty() ? 200 : std::atoi(status.c_str()),
                         json::serialize(json::object{
                             {"path", request.m_path},
                             {"method", request.m_method},
                             {"run", service.m_runs},
                             {"note", wire::Get(request.m_headers, "x-note")},
                             {"body", request.m_body}}));
  response.m_headers["x-ledger"] = "fees";
  return response;
}

Awaitable<void> Answer(std::shared_ptr<Service> service,
                       Duration work,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  wire::Response response = Run(*service, request);
  if (request.m_path != "/healthz" && request.m_path != "/runs")
    co_await Sleep(work);
  co_await writer.Send(std::move(response));
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_service",
      "Stands in for a plain service such as a fee ledger. GET /runs counts "
      "what ran by Idempotency-Key; ?status=N sets an answer's status.",
      standins::StandinSettings().Integer("work_ms", 5, 0, 60000, "ms",
                                          "time that a call takes"),
      [](const Settings& settings, std::shared_ptr<standins::Faults>) {
        auto service = std::make_shared<Service>();
        const Duration work = settings.Milliseconds("work_ms");
        return [service, work](const wire::Request& request,
                               wire::ResponseWriter& writer) {
          return Answer(service, work, request, writer);
        };
      });
}
