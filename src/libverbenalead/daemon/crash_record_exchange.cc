#include "daemon/crash_record_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/spawn.h"
#include "model/json_fields.h"

namespace verbenalead::daemon {
namespace {

namespace json = boost::json;

constexpr char kPath[] = "/v1/crash-notes";
/// New crash records are sent at once. If an entry did not answer, sending to
/// it is retried at this interval.
constexpr Duration kRetryInterval = 500ms;
constexpr Duration kTimeout = 1s;
/// Maximum number of crash records kept for an entry that does not answer; if
/// there are more, the oldest are dropped. An entry that lacks a crash record
/// may let the request of that record crash one more target.
constexpr size_t kMaxPending = 1000;

/// The crash records that one entry has not confirmed yet.
struct PendingRecords {
  std::vector<decide::CrashRecord> m_records;
  bool m_sending = false;
};

using PendingRecordsByEntry = std::map<std::string, PendingRecords>;

wire::Request MakeMessage(const std::vector<decide::CrashRecord>& records) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = kPath;
  request.m_body = ToJson(records, Now());
  return request;
}

Awaitable<void> SendRecords(std::shared_ptr<PendingRecordsByEntry> pending,
                            wire::Client& peers,
                            model::Host entry) {
  std::vector<decide::CrashRecord> records =
      std::exchange((*pending)[entry.name()].m_records, {});
  wire::Request message = MakeMessage(records);
  auto response = co_await wire::Fetch(peers, entry.peer(), std::move(message),
                                       Now() + kTimeout);
  PendingRecords& remaining = (*pending)[entry.name()];
  remaining.m_sending = false;
  if (!response || response->m_status != 200)
    remaining.m_records.insert(remaining.m_records.begin(), records.begin(),
                               records.end());
}

/// Adds `new_records` to the crash records pending for an entry. If there are
/// then more than kMaxPending, the oldest are dropped.
void Add(PendingRecords& pending,
         const std::vector<decide::CrashRecord>& new_records) {
  auto& records = pending.m_records;
  records.insert(records.end(), new_records.begin(), new_records.end());
  if (records.size() > kMaxPending)
    records.erase(records.begin(), records.end() - kMaxPending);
}

Result<decide::CrashRecord> ReadRecord(const json::value& value,
                                       TimePoint now) {
  if (!value.is_object())
    return model::BadField("notes", "a list of objects");
  const json::object& object = value.get_object();
  decide::CrashRecord record;
  BOOST_LEAF_ASSIGN(record.m_key, model::NumberField(object, "key"));
  BOOST_LEAF_ASSIGN(record.m_target, model::TextField(object, "target"));
  BOOST_LEAF_AUTO(age, model::NumberField(object, "age_ms"));
  record.m_at =
      now - std::chrono::milliseconds(std::min<uint64_t>(age, INT32_MAX));
  return record;
}

Awaitable<void> Answer(LockedQuarantine& quarantine,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path != kPath) {
    co_await handler(request, writer);
    co_return;
  }
  auto records =
      CatchFailure([&] { return ParseCrashRecords(request.m_body, Now()); });
  if (records)
    quarantine.MergeCrashRecords(*records);
  co_await writer.Send(wire::Response{records ? 200 : 400, {}, ""});
}

}  // namespace

std::string ToJson(const std::vector<decide::CrashRecord>& records,
                   TimePoint now) {
  json::array list;
  for (const decide::CrashRecord& record : records) {
    list.push_back(json::object{{"key", record.m_key},
                                {"target", record.m_target},
                                {"age_ms", ToMilliseconds(now - record.m_at)}});
  }
  return json::serialize(json::object{{"notes", std::move(list)}});
}

Result<std::vector<decide::CrashRecord>> ParseCrashRecords(
    std::string_view text,
    TimePoint now) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "crash notes"));
  const json::value* list = object.if_contains("notes");
  if (list == nullptr || !list->is_array())
    return model::BadField("notes", "a list");
  std::vector<decide::CrashRecord> records;
  for (const json::value& value : list->get_array()) {
    BOOST_LEAF_AUTO(record, ReadRecord(value, now));
    records.push_back(std::move(record));
  }
  return records;
}

wire::Handler WithCrashRecords(LockedQuarantine& quarantine,
                               wire::Handler handler) {
  return [&quarantine, handler = std::move(handler)](
             const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(quarantine, handler, request, writer);
  };
}

Awaitable<void> SendCrashRecords(LockedQuarantine& quarantine,
                                 HostDirectory& hosts,
                                 wire::Client& peers,
                                 std::string self) {
  const auto executor = co_await boost::asio::this_coro::executor;
  auto pending = std::make_shared<PendingRecordsByEntry>();
  auto wake = std::make_shared<boost::asio::steady_timer>(executor);
  // New crash records wake the loop. Polling every 50 ms was too slow: a caller
  // that retries at one entry after the other needs only a few milliseconds for
  // each.
  std::function<void()> on_new_records = [executor, wake] {
    boost::asio::post(executor, [wake] { wake->cancel(); });
  };
  quarantine.SetOnNewRecords(on_new_records);
  while (true) {
    const std::vector<decide::CrashRecord> new_records =
        quarantine.TakeCrashRecords();
    for (const model::Host& entry : hosts.Hosts(model::HostRole::kEntry)) {
      PendingRecords& known = (*pending)[entry.name()];
      if (entry.name() == self)
        continue;
      Add(known, new_records);
      if (known.m_records.empty() || known.m_sending)
        continue;
      known.m_sending = true;
      Spawn(executor, SendRecords(pending, peers, entry), "tell");
    }
    wake->expires_after(kRetryInterval);
    boost::system::error_code ignored;
    co_await wake->async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

}  // namespace verbenalead::daemon
