#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "platform/names.h"
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

Duration Milliseconds(const boost::json::object& drill, const char* name) {
  const boost::json::value* value = drill.if_contains(name);
  return std::chrono::milliseconds(
      value && value->is_int64() ? value->as_int64() : 0);
}

/// Requests since the last question for them, by path.
using RequestCounts = std::map<std::string, uint64_t>;

std::string TakeRequestCounts(RequestCounts& counts) {
  boost::json::object object;
  for (const auto& [path, count] : std::exchange(counts, {}))
    object[path] = count;
  return boost::json::serialize(object);
}

Awaitable<void> WriteLaterAgain(std::shared_ptr<RowStore> store,
                                RowStore::LostWrites lost,
                                Duration delay) {
  co_await Sleep(delay);
  const uint64_t rows = store->WriteAgain(lost);
  LogLine("written_again")
      .With("rows", rows)
      .With("revision", store->revision())
      .Info();
}

/// Answers no request for "away_ms", then comes back from a copy that is
/// "age_ms" /// old. "writes" are applied and "skip" revisions used up before
/// the first request is answered. What the operator and the replicas wrote is
/// written again after "again_ms". "clock_ms" is added to the stated clock.
Awaitable<wire::Response> Drill(std::shared_ptr<RowStore> store,
                                std::shared_ptr<bool> away,
                                std::string body) {
  const auto executor = co_await boost::asio::this_coro::executor;
  const boost::json::object drill = boost::json::parse(body).as_object();
  const uint64_t before = store->revision();
  *away = true;
  co_await Sleep(Milliseconds(drill, "away_ms"));
  RowStore::LostWrites lost = store->ReturnFromCopy(
      Milliseconds(drill, "age_ms") + Milliseconds(drill, "away_ms"));
  if (drill.contains("writes"))
    store->Apply(drill);
  store->SkipRevisions(
      static_cast<uint64_t>(ToMilliseconds(Milliseconds(drill, "skip"))));
  store->ShiftClock(Milliseconds(drill, "clock_ms"));
  *away = false;
  LogLine("came_back")
      .With("era", store->era())
      .With("before", before)
      .With("revision", store->revision())
      .Info();
  Spawn(
      executor,
      WriteLaterAgain(store, std::move(lost), Milliseconds(drill, "again_ms")),
      "write_again");
  co_return wire::JsonResponse(
      200, boost::json::serialize(boost::json::object{
               {"before", before}, {"revision", store->revision()}}));
}

/// Handles one request. Specific fault: {"forget": N} drops the history of
/// changes at each of the next N requests.
Awaitable<void> Serve(std::shared_ptr<RowStore> store,
                      std::shared_ptr<bool> away,
                      std::shared_ptr<RequestCounts> counts,
                      std::shared_ptr<standins::Faults> faults,
                      const wire::Request& request,
                      wire::ResponseWriter& writer) {
  if (faults->TryConsume("forget"))
    store->Forget();
  const std::string path = wire::PathOf(request);
  const std::string table = wire::QueryValue(request, "table");
  const uint64_t era = store->era();
  wire::Response response(404, {}, "");
  if (path == "/stats") {
    co_await writer.Send(wire::JsonResponse(200, TakeRequestCounts(*counts)));
    co_return;
  }
  ++(*counts)[path];
  if (path == "/drill") {
    wire::Response done = co_await Drill(store, away, request.m_body);
    co_await writer.Send(std::move(done));
    co_return;
  }
  if (*away)
    co_return;  // Closes the connection.
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
    while (!store->HasChanges(table, revision) &&
           revision <= store->revision() && Now() < end &&
           !faults->Flag("down") && !*away && store->era() == era)
      co_await Sleep(kChangePollInterval);
    if (*away || store->era() != era)
      co_return;
    response = Changes(*store, table, revision);
    if (faults->Flag("down"))
      response = wire::JsonResponse(503, "{}");
  }
  response.m_headers[platform::kStoreEra] = std::to_string(store->era());
  co_await writer.Send(std::move(response));
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_platform_store",
      "Stands in for the platform's store.", standins::StandinSettings(),
      [](const Settings&, std::shared_ptr<standins::Faults> faults) {
        auto store = std::make_shared<RowStore>();
        auto away = std::make_shared<bool>(false);
        auto counts = std::make_shared<RequestCounts>();
        return [store, away, counts, faults](const wire::Request& request,
                                             wire::ResponseWriter& writer) {
          return Serve(store, away, counts, faults, request, writer);
        };
      });
}
