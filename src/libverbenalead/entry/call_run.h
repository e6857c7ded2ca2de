#ifndef VERBENALEAD_ENTRY_CALL_RUN_H_
#define VERBENALEAD_ENTRY_CALL_RUN_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/log.h"
#include "entry/caller_response.h"
#include "entry/hedge.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Runs one admitted call: chooses a replica, sends the call, passes the answer
/// to the caller, and retries, resumes or hedges where the route allows it.
/// Whatever happens, the caller gets a true result: a call that may have run is
/// never reported as not run, and part of an answer is never shown as a whole
/// one.
class CallRun {
 public:
  CallRun(CallServices services,
          CallPlan plan,
          const wire::Request& request,
          wire::ResponseWriter& caller);

  Awaitable<void> Run();

 private:
  Awaitable<void> Answer();
  /// Sends the call, with retries, until a replica begins to answer. False: no
  /// answer; the caller has got an error response or has disconnected.
  Awaitable<bool> GetAnswerHead();
  /// Sends the call to one replica, and to a second one in parallel if the
  /// first is silent. False: no slot came free. `resumes`: this call resumes a
  /// stream at another replica.
  Awaitable<bool> SendAttempt(TimePoint wait_until, bool resumes);
  /// Passes a whole answer to the caller. False: the answer broke off, and the
  /// call is to be retried.
  Awaitable<bool> AnswerWhole();
  /// Ends the call without the replica's answer, whose status would be a false
  /// promise. The caller doesn't wait for the rest of that answer.
  Awaitable<void> WithholdAnswer();
  Awaitable<void> AnswerStream();
  /// Passes events to the caller until the replica's answer ends or breaks off.
  /// True: the answer is complete.
  Awaitable<bool> RelayEvents();
  /// Records whether the first event was late, which adjusts how long later
  /// calls of the service wait for a slot.
  void RecordFirstEventLateness();
  /// Resumes the stream at another replica. False: no replica took it over.
  Awaitable<bool> Resume();
  /// Called when the current replica has failed or broken off. Waits for the
  /// hedge, if it was sent, and switches to it. True: the hedge answers.
  Awaitable<bool> SwitchToHedge();
  /// Ends a call without an answer: the response states that the call was not
  /// run if that is certain, else that its outcome is unknown.
  Awaitable<void> EndWithoutAnswer();
  /// Time that a replica of the service takes to load weights.
  Duration LoadTime() const;
  Awaitable<void> Refuse(decide::Refusal refusal);
  /// Refuses the call while no replica takes calls for `wait`.
  Awaitable<void> RefuseUntil(decide::Refusal refusal, Duration wait);
  Awaitable<void> SendRefusal(int status,
                              const std::string& reason,
                              Duration retry_after);

  /// Records that the current attempt has got a slot, after waiting since
  /// `wait_began`, and starts to watch the replica for silence.
  void RecordSent(TimePoint wait_began);
  /// Starts a new hedge for the current attempt, if one is allowed.
  void StartHedge();
  void StopHedge();
  /// The hedge has begun to answer and can replace the current attempt.
  bool IsHedgeReady() const { return m_hedge && m_hedge->ready(); }
  /// Ends the current attempt and replaces it by the hedge's attempt.
  void PromoteHedge();
  /// Cancels all attempts when the caller has disconnected.
  void CancelAll();
  /// The current attempt's answer, or an event of it, exceeds a limit: it is no
  /// answer.
  void RecordTooLong(const std::string& reason);
  /// Ends the current attempt and keeps its reason for the log.
  void EndAttempt(decide::AttemptEnd end);
  /// Whether the call may be retried after `end`: it isn't blocked, and the
  /// retry is within the limit. One after an unreachable replica isn't
  /// counted.
  bool TryTakeRetryAfter(decide::AttemptEnd end);
  void LogCall(const std::string& outcome, int status);
  /// Adds to the line of a refused call the slots of all usable replicas of its
  /// service, which show whether there was room.
  void LogPool(LogLine& line) const;
  /// Adds the call's rank, its organisation's share and the expected wait,
  /// where they decide anything.
  void LogClass(LogLine& line) const;
  /// Counts the call by its rank and its organisation, where they decide
  /// anything.
  void CountByClass(const std::string& outcome);
  /// Records that the call got its first slot.
  void NoteSlot(TimePoint now);
  /// Records that the call got no slot as the replicas are full.
  void NoteFull();
  /// Delay after which the caller should retry while the replicas are full.
  Duration OverloadDelay();
  /// What cut an answer short: `replica`, `caller`, `time` (deadline of the
  /// caller or the route), `silence` (this entry timed out on the replica
  /// before the deadline).
  const char* CutCause() const;
  AttemptResult& result() { return m_attempt->result(); }
  Duration Left() const { return m_record->Left(Now()); }

  const CallServices m_services;
  EntryState& m_state;
  const std::shared_ptr<CallRecord> m_record;
  const CallPlan& m_plan;
  CallerResponse m_caller;
  boost::asio::any_io_executor m_executor;
  /// The current attempt: the one whose answer is passed to the caller.
  std::shared_ptr<CallAttempt> m_attempt;
  /// Makes a second attempt while the current one is silent; null: no hedge is
  /// allowed at present.
  std::shared_ptr<Hedge> m_hedge;
  /// The head that the caller of a stream gets: that of the first replica that
  /// answered, also when another replica resumes the stream.
  wire::ResponseHead m_head;
  bool m_head_sent = false;
  /// Reason and failure code of the attempt that ended last.
  std::string m_reason;
  std::optional<FailureCode> m_failure;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RUN_H_
