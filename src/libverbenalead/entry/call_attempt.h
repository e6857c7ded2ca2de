#ifndef VERBENALEAD_ENTRY_CALL_ATTEMPT_H_
#define VERBENALEAD_ENTRY_CALL_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/attempt.h"
#include "entry/call_record.h"
#include "entry/call_services.h"

namespace verbenalead::entry {

/// One attempt of a call at one replica: its place there, its connection, and
/// what of the answer has been read. A call may have two at once. An attempt
/// that has got a place must be ended by End().
class CallAttempt {
 public:
  CallAttempt(CallServices services, std::shared_ptr<CallRecord> record);

  CallAttempt(const CallAttempt&) = delete;
  CallAttempt& operator=(const CallAttempt&) = delete;

  /// Waits for a place until `wait_until`, sends the call there and waits for
  /// the head of the answer. False: it got no place, or was cancelled before it
  /// had one. `on_sent` is called when there is a place.
  Awaitable<bool> Send(TimePoint wait_until,
                       const std::function<void()>& on_sent);
  /// Reads a first piece of the body ahead; it is what ReadBody() gives next.
  Awaitable<void> ReadAhead();
  /// The next piece of the body, as `wire::ResponseReader` gives it.
  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody();
  /// Nobody waits for its answer any more: all that waits in it ends.
  void Cancel();
  /// Gives its place back and lets go of the connection.
  void End(decide::AttemptEnd end);
  /// The line that tells how it went.
  void Log(decide::AttemptEnd end, const std::string& reason) const;

  /// It has a place, and the call is on its way.
  bool sent() const { return m_number > 0; }
  bool cancelled() const { return m_cancelled; }
  const std::string& incarnation() const { return m_incarnation; }
  /// How the answer began.
  const AttemptResult& result() const { return m_result; }
  AttemptResult& result() { return m_result; }

 private:
  platform::ForwardedCall Forwarded(const decide::ReplicaState& replica) const;
  /// When a call that hasn't begun at `replica` must not begin there any more.
  /// A call may wait in a replica's queue for a second: it was sent while older
  /// weights were allowed and would begin when they aren't.
  TimePoint WeightsDeadline(const decide::ReplicaState& replica) const;
  /// Takes what the head of the answer says of the call and of the replica.
  void NoteHead();

  const CallServices m_services;
  const std::shared_ptr<CallRecord> m_record;
  uint64_t m_ticket = 0;
  bool m_cancelled = false;
  /// The replica that has a place taken for this attempt; empty: none.
  std::string m_replica;
  std::string m_incarnation;
  /// Which attempt of its call it is, from 1 on; 0: it has no place yet.
  uint32_t m_number = 0;
  TimePoint m_sent_at{};
  AttemptResult m_result;
  std::optional<std::string> m_ahead;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_ATTEMPT_H_
