#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <string>

#include "base/sleep.h"
#include "standins/common/run_standin.h"
#include "standins/platform_store/row_store.h"

namespace {

using namespace verbenalead;
using standins::RowStore;

/// Interval at which a long poll checks for changes.
constexpr Duration kChangePollInterval = 5ms;

uint64_t Number(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

wire::Response Transact(RowStore& store, const std::string& body) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object())
    return wire::JsonResponse(400, "{}");
  return wire::JsonResponse(store.Apply(value.as_object()) ? 200 : 412, "{}");
}

wire::Response Changes(const RowStore& store,
                       const std::string& table,
                       uint64_t revision) {
  const auto changes = store.Changes(table, revision);
  if (!changes)
    return wire::JsonResponse(410, "{}");
  return wire::JsonResponse(200, boost::json::serialize(*changes));
}

/// Handles one request. Specific fault: {"forget": N} drops the history of
/// changes at each of the next N requests.
Awaitable<void> Serve(std::shared_ptr<RowStore> store,
                      std::shared_ptr<standins::Faults> faults,
                      const wire::Request& request,
                      wire::ResponseWriter& writer) {
  if (faults->TryConsume("forget"))
    store->Forget();
  const std::string path = wire::PathOf(request);
  const std::string table = wire::QueryValue(request, "table");
  wire::Response response(404, {}, "");
  if (path == "/rows-tx") {
    response = Transact(*store, request.m_body);
  } else if (path == "/rows-get") {
    const std::string part = wire::QueryValue(request, "part");
    response = wire::JsonResponse(
        200, boost::json::serialize(store->Read(table, part)));
  } else if (path == "/rows-parts") {
    response =
        wire::JsonResponse(200, boost::json::serialize(store->Parts(table)));
  } else if (path == "/rows-feed") {
    const uint64_t revision = Number(request, "after_rev");
    const TimePoint end =
        Now() + std::chrono::milliseconds(Number(request, "wait_ms"));
    while (!store->HasChanges(table, revision) && Now() < end &&
           !faults->Flag("down"))
      co_await Sleep(kChangePollInterval);
    response = Changes(*store, table, revision);
    if (faults->Flag("down"))
      response = wire::JsonResponse(503, "{}");
  }
  co_await writer.Send(std::move(response));
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_platform_store",
      "Stands in for the platform's store.", standins::StandinSettings(),
      [](const Settings&, std::shared_ptr<standins::Faults> faults) {
        auto store = std::make_shared<RowStore>();
        return [store, faults](const wire::Request& request,
                               wire::ResponseWriter& writer) {
          return Serve(store, faults, request, writer);
        };
      });
}
