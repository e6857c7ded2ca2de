#ifndef VERBENALEAD_ENTRY_CALL_RUN_H_
#define VERBENALEAD_ENTRY_CALL_RUN_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "entry/hedge.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// One admitted call, from its first placing to its answer.
class CallRun {
 public:
  CallRun(CallServices services,
          CallPlan plan,
          const wire::Request& request,
          wire::ResponseWriter& caller);

  Awaitable<void> Run();

 private:
  Awaitable<void> Answer();
  /// Places and sends until an answer is there; false: the caller was told why
  /// not, or left.
  Awaitable<bool> Begin();
  /// Sends to one replica, and to a second one beside it if the first is
  /// silent; false: no place. `again`: to go on with a stream.
  Awaitable<bool> SendOnce(TimePoint wait_until, bool again);
  Awaitable<void> AnswerWhole();
  Awaitable<void> AnswerStream();
  /// Passes on events until the replica's answer ends or breaks; true: it came
  /// to its end.
  Awaitable<bool> RelayEvents();
  /// Learns from this call how much time others need.
  void LearnFromFirstEvent();
  /// Goes on with the stream at another replica; false: none is to be had.
  Awaitable<bool> Resume();
  /// Whether the answer goes on at a second replica that was asked beside the
  /// present one, which broke off.
  Awaitable<bool> GoesOnAtHedge();
  /// No answer will come: says what is known of the call.
  Awaitable<void> GiveUp();
  Awaitable<void> Refuse(decide::Refusal refusal);
  Awaitable<void> Tell(int status,
                       const std::string& reason,
                       Duration retry_after);

  /// The present attempt has a place, and is on its way.
  void NoteSent(TimePoint asked);
  /// From now on another replica may be asked beside the present one.
  void WatchSilence();
  void StopWatching();
  bool HedgeAnswers() const { return m_hedge && m_hedge->ready(); }
  /// The second attempt has begun to answer, and takes the place of the first.
  void TakeHedge();
  /// The caller left: nothing is worth waiting for.
  void CancelAll();
  /// Ends the attempt at the present replica.
  void EndAttempt(decide::AttemptEnd end);
  bool TakeRepeatAfter(decide::AttemptEnd end);
  void NoteBreak();
  void LogCall(const std::string& outcome, int status);
  /// Who ended an answer before it was whole: `replica`, `caller`, `time` (of
  /// the caller or the route), `silence` (this entry, with time left).
  const char* EndedBy() const;
  AttemptResult& result() { return m_attempt->result(); }
  Duration Left() const { return m_record->Left(Now()); }

  const CallServices m_services;
  EntryState& m_state;
  const std::shared_ptr<CallRecord> m_record;
  const CallPlan& m_plan;
  wire::ResponseWriter& m_caller;
  boost::asio::any_io_executor m_executor;
  /// The attempt whose answer is passed on.
  std::shared_ptr<CallAttempt> m_attempt;
  /// Asks another replica while that one is silent; null: none may be asked.
  std::shared_ptr<Hedge> m_hedge;
  /// What callers of streams get first: the head of the first replica.
  wire::ResponseHead m_head;
  bool m_head_sent = false;
  /// What went wrong last.
  std::string m_reason;
  std::optional<FailureCode> m_failure;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RUN_H_
