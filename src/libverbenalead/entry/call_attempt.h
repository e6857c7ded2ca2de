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

/// One attempt of a call at one replica. It owns a slot at the replica, the
/// connection, and the part of the answer that has been read. A call may have
/// two attempts at once: the first and its hedge. End() must be called for each
/// attempt that got a slot; otherwise the slot is never released.
class CallAttempt {
 public:
  CallAttempt(CallServices services, std::shared_ptr<CallRecord> record);
  ~CallAttempt();

  CallAttempt(const CallAttempt&) = delete;
  CallAttempt& operator=(const CallAttempt&) = delete;

  /// Waits for a slot until `wait_until`, sends the call to that replica and
  /// waits for the head of the answer. `on_sent` is called just before the call
  /// is sent. False: nothing was sent, since no slot came free in time, or the
  /// attempt was cancelled, the call's time ran out or the replica was removed
  /// meanwhile.
  Awaitable<bool> Send(TimePoint wait_until,
                       const std::function<void()>& on_sent);
  /// Reads the first piece of the body and stores it for the next ReadBody().
  /// Shows that the replica really answers before the attempt is used.
  Awaitable<void> PrefetchBody();
  /// Returns the next piece of the body, as `wire::ResponseReader::ReadBody`.
  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody();
  /// Ends `attempt`, whose answer isn't passed on, after its replica has sent
  /// the rest of it, or when that takes too long. So the connection can be used
  /// for the next call.
  static Awaitable<void> DiscardAnswer(std::shared_ptr<CallAttempt> attempt);
  /// Cancels the attempt, as its answer isn't needed any more: the coroutine
  /// that waits for a slot or for data of this attempt returns.
  void Cancel();
  /// Closes the connection and releases the slot at the replica. `end` is
  /// recorded for the replica.
  void End(decide::AttemptEnd end);
  /// Called when this attempt has delivered an event of a stream.
  void NoteEvent() { m_has_events = true; }
  /// Writes the log line of the attempt's result.
  void Log(decide::AttemptEnd end, const std::string& reason) const;

  /// The attempt has got a slot, and the call is being sent or was sent.
  bool sent() const { return m_number > 0; }
  /// The replica has delivered at least one event in this attempt.
  bool has_events() const { return m_has_events; }
  bool cancelled() const { return m_cancelled; }
  /// The replica is loading weights, for which it cuts off its calls.
  bool IsReplicaLoading() const;
  /// The call was not sent, since it crashes replicas.
  bool blocked() const { return m_blocked; }
  const std::string& incarnation() const { return m_incarnation; }
  /// The result up to the head of the answer.
  const AttemptResult& result() const { return m_result; }
  AttemptResult& result() { return m_result; }

 private:
  platform::ForwardedCall ToForwardedCall(
      const decide::ReplicaState& replica) const;
  /// Sends the call to `replica` and waits for the head of the answer. Gives up
  /// at the time after which the call must not begin there: it may wait in the
  /// replica's queue for a second, and begin on weights that are barred by
  /// then.
  Awaitable<void> Exchange(const decide::ReplicaState& replica,
                           const std::function<void()>& on_sent);
  /// Gives the attempt up, as the call must not begin at the replica any more.
  void StopBarred();
  /// The call has begun, or won't: no weights forbid it any more.
  void NoteBegun();
  /// Updates the call's progress, and the replica's known weights version, from
  /// the head of the answer.
  void ApplyHead();
  /// Waits for a slot, as `SlotAllocator::Acquire`.
  Awaitable<std::optional<std::string>> AcquireSlot(TimePoint wait_until);
  /// Restricts the attempt to one replica if a part of the prompt is suspected
  /// to crash replicas.
  void IsolateSuspect(decide::PoolCall& pool_call);
  /// Records that the replica has sent data.
  void NoteData();
  /// Records how long a plain replica took for the answer.
  void NoteRunTime();
  /// Learns what the head of the answer states of the replica.
  void ApplyStatements();
  /// The replica, if the incarnation that got the call still runs; otherwise
  /// null: how the attempt went says nothing of the new one.
  decide::ReplicaState* CurrentReplica() const;
  void ApplyRateLimit(decide::ReplicaState& replica);
  void ApplyCold(decide::ReplicaState& replica);
  /// Whether the answer is the replica's own, as far as can be told.
  bool IsOwnAnswer() const;
  /// Logs the statements of the answer that can't be read.
  void LogMalformedStatements();
  /// Logs each header field of answers that this project doesn't know, once in
  /// the lifetime of the process, with its value.
  void LogUnknownFields();

  const CallServices m_services;
  const std::shared_ptr<CallRecord> m_record;
  uint64_t m_ticket = 0;
  bool m_cancelled = false;
  bool m_blocked = false;
  /// Newer weights became mandatory before the call had begun.
  bool m_barred = false;
  bool m_has_events = false;
  /// The replica at which this attempt holds a slot; empty: none.
  std::string m_replica;
  /// Replica and start time of its process, to tell apart processes that ran
  /// under the same id.
  std::string m_incarnation;
  /// Number of this attempt within the call, from 1; 0: no slot yet.
  uint32_t m_number = 0;
  TimePoint m_sent_at{};
  /// The replica's weights as known when the call was sent, and the time from
  /// which it could no longer begin on them; TimePoint::max(): no limit.
  uint64_t m_known_weights = 0;
  TimePoint m_begin_by = TimePoint::max();
  AttemptResult m_result;
  /// The piece of the body that PrefetchBody() stored.
  std::optional<std::string> m_prefetched;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_ATTEMPT_H_
