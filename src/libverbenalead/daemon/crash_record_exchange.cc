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
/// New notes are sent at once. An entry that did not answer is retried at this
/// interval.
constexpr Duration kRetryInterval = 500ms;
constexpr Duration kTimeout = 1s;
/// Maximum number of notes kept for an entry that does not answer; if there are
/// more, the oldest are dropped. An entry that lacks a note may let the request
/// of that note crash one more target.
constexpr size_t kMaxPending = 1000;

/// The notes that one entry has not confirmed yet.
struct PendingNotes {
  std::vector<decide::CrashRecord> m_notes;
  bool m_sending = false;
};

using PendingNotesByEntry = std::map<std::string, PendingNotes>;

wire::Request MakeMessage(const std::vector<decide::CrashRecord>& notes) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = kPath;
  request.m_body = ToJson(notes, Now());
  return request;
}

Awaitable<void> Tell(std::shared_ptr<PendingNotesByEntry> pending,
                     wire::Client& peers,
                     model::Host entry) {
  std::vector<decide::CrashRecord> notes =
      std::exchange((*pending)[entry.name()].m_notes, {});
  wire::Request message = MakeMessage(notes);
  auto response = co_await wire::Fetch(peers, entry.peer(), std::move(message),
                                       Now() + kTimeout);
  PendingNotes& remaining = (*pending)[entry.name()];
  remaining.m_sending = false;
  if (!response || response->m_status != 200)
    remaining.m_notes.insert(remaining.m_notes.begin(), notes.begin(),
                             notes.end());
}

/// Adds `new_notes` to the notes pending for an entry. If there are more than
/// kMaxPending then, the oldest are dropped.
void Add(PendingNotes& pending,
         const std::vector<decide::CrashRecord>& new_notes) {
  auto& notes = pending.m_notes;
  notes.insert(notes.end(), new_notes.begin(), new_notes.end());
  if (notes.size() > kMaxPending)
    notes.erase(notes.begin(), notes.end() - kMaxPending);
}

Result<decide::CrashRecord> ReadNote(const json::value& value, TimePoint now) {
  if (!value.is_object())
    return model::BadField("notes", "a list of objects");
  const json::object& object = value.get_object();
  decide::CrashRecord note;
  BOOST_LEAF_ASSIGN(note.m_key, model::NumberField(object, "key"));
  BOOST_LEAF_ASSIGN(note.m_target, model::TextField(object, "target"));
  BOOST_LEAF_AUTO(age, model::NumberField(object, "age_ms"));
  note.m_at =
      now - std::chrono::milliseconds(std::min<uint64_t>(age, INT32_MAX));
  return note;
}

Awaitable<void> Answer(LockedQuarantine& quarantine,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path != kPath) {
    co_await handler(request, writer);
    co_return;
  }
  auto notes =
      CatchFailure([&] { return ParseCrashRecords(request.m_body, Now()); });
  if (notes)
    quarantine.Merge(*notes);
  co_await writer.Send(wire::Response{notes ? 200 : 400, {}, ""});
}

}  // namespace

std::string ToJson(const std::vector<decide::CrashRecord>& notes,
                   TimePoint now) {
  json::array list;
  for (const decide::CrashRecord& note : notes) {
    list.push_back(json::object{{"key", note.m_key},
                                {"target", note.m_target},
                                {"age_ms", ToMilliseconds(now - note.m_at)}});
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
  std::vector<decide::CrashRecord> notes;
  for (const json::value& value : list->get_array()) {
    BOOST_LEAF_AUTO(note, ReadNote(value, now));
    notes.push_back(std::move(note));
  }
  return notes;
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
  auto pending = std::make_shared<PendingNotesByEntry>();
  auto wake = std::make_shared<boost::asio::steady_timer>(executor);
  // New notes wake the loop. Polling every 50 ms was too slow: a caller that
  // tries one entry after the other needs only a few milliseconds for each.
  std::function<void()> on_new_notes = [executor, wake] {
    boost::asio::post(executor, [wake] { wake->cancel(); });
  };
  quarantine.SetOnNewRecords(on_new_notes);
  while (true) {
    const std::vector<decide::CrashRecord> new_notes = quarantine.News();
    for (const model::Host& entry : hosts.Hosts(model::HostRole::kEntry)) {
      PendingNotes& known = (*pending)[entry.name()];
      if (entry.name() == self)
        continue;
      Add(known, new_notes);
      if (known.m_notes.empty() || known.m_sending)
        continue;
      known.m_sending = true;
      Spawn(executor, Tell(pending, peers, entry), "tell");
    }
    wake->expires_after(kRetryInterval);
    boost::system::error_code ignored;
    co_await wake->async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

}  // namespace verbenalead::daemon
