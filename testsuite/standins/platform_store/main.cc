#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/lenient_json.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "platform/names.h"
#include "standins/common/run_standin.h"
#include "standins/platform_store/row_store.h"

namespace {

using namespace verbenalead;
using standins::RowStore;

/// Most parts of an answer.
constexpr size_t kPartsPage = 1000;
/// Interval at which a long poll checks for changes.
constexpr Duration kChangePollInterval = 5ms;

uint64_t Number(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

wire::Response Transact(RowStore& store, const std::string& body) {
  boost::system::error_code error;
  const boost::json::value value = ParseLenientJson(body, error);
  if (error || !value.is_object())
    return wire::JsonResponse(400, "{}");
  return wire::JsonResponse(store.Apply(value.as_object()) ? 200 : 412, "{}");
}

/// Returns `answer` as text. Keys that hold half a surrogate pair are sent as
/// its escape, as by a store that accepts any escape in a key.
std::string Serialize(const boost::json::object& answer) {
  const std::string text = boost::json::serialize(answer);
  std::string escaped;
  for (size_t at = 0; at < text.size(); ++at) {
    const auto byte = [&](size_t offset) {
      return static_cast<unsigned char>(text[at + offset]);
    };
    if (byte(0) != 0xED || at + 2 >= text.size() || byte(1) < 0xA0) {
      escaped += text[at];
      continue;
    }
    const int unit = 0xD000 | (byte(1) & 0x3F) << 6 | (byte(2) & 0x3F);
    char escape[] = "\\u0000";
    std::snprintf(escape, sizeof(escape), "\\u%04x", unit);
    escaped += escape;
    at += 2;
  }
  return escaped;
}

/// Whether the target of `request` is proper: each character is one that a
/// target may hold, and each escape has two digits.
bool HasProperTarget(const wire::Request& request) {
  return boost::urls::parse_origin_form(request.m_path).has_value();
}

RowStore::Range RangeOf(const wire::Request& request, size_t page_rows) {
  RowStore::Range range = {wire::QueryValue(request, "from"),
                           wire::QueryValue(request, "to"), page_rows};
  const uint64_t limit = Number(request, "limit");
  if (limit > 0)
    range.m_limit = std::min<size_t>(range.m_limit, limit);
  return range;
}

wire::Response Changes(const RowStore& store,
                       const std::string& table,
                       uint64_t revision) {
  const auto changes = store.Changes(table, revision);
  if (!changes)
    return wire::JsonResponse(410, "{}");
  return wire::JsonResponse(200, Serialize(*changes));
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
/// "age_ms" old. "writes" are applied and "skip" revisions used up before
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
Awaitable<void> Serve(std::shared_ptr<size_t> page_rows,
                      std::shared_ptr<RowStore> store,
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
  if (path == "/page") {  // Sets the number of rows of a page.
    *page_rows = std::strtoull(request.m_body.c_str(), nullptr, 10);
    co_await writer.Send(wire::JsonResponse(200, "{}"));
    co_return;
  }
  if (path == "/drill") {
    wire::Response done = co_await Drill(store, away, request.m_body);
    co_await writer.Send(std::move(done));
    co_return;
  }
  if (*away)
    co_return;  // Closes the connection.
  if (!HasProperTarget(request)) {
    ++(*counts)["malformed"];
    response = wire::JsonResponse(400, "{}");
  } else if (path == "/rows-tx") {
    response = Transact(*store, request.m_body);
  } else if (path == "/rows-get") {
    const std::string part = wire::QueryValue(request, "part");
    response = wire::JsonResponse(
        200, Serialize(store->Read(table, part, RangeOf(request, *page_rows))));
  } else if (path == "/rows-parts") {
    const std::string after = wire::QueryValue(request, "after_rev");
    response = wire::JsonResponse(
        200, Serialize(store->Parts(table, after, kPartsPage)));
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
      "Stands in for the platform's store.",
      standins::StandinSettings().Integer("page_rows", 500, 1, 500, "rows",
                                          "most rows of an answer"),
      [](const Settings& settings, std::shared_ptr<standins::Faults> faults) {
        auto page_rows = std::make_shared<size_t>(
            static_cast<size_t>(settings.Integer("page_rows")));
        auto store = std::make_shared<RowStore>();
        auto away = std::make_shared<bool>(false);
        auto counts = std::make_shared<RequestCounts>();
        return [=](const wire::Request& request, wire::ResponseWriter& writer) {
          return Serve(page_rows, store, away, counts, faults, request, writer);
        };
      });
}
