#ifndef VERBENALEAD_ENTRY_CALL_RUN_H_
#define VERBENALEAD_ENTRY_CALL_RUN_H_

#include <memory>
#include <optional>
#include <string>

#include "decide/call_policy.h"
#include "decide/event_splitter.h"
#include "entry/attempt.h"
#include "entry/call_times.h"
#include "entry/entry_state.h"
#include "entry/place_waiter.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// One admitted call, from its first placing to its answer.
class CallRun {
 public:
  struct Plan {
    model::InboundCall m_call;
    model::Route m_route;
    std::string m_service;
    /// Empty: a plain service.
    std::string m_model;
    std::string m_organisation;
    uint64_t m_config_version = 0;
    uint64_t m_fingerprint = 0;
    decide::Patience m_patience;
    /// How long ago its caller began, by what the caller says is left.
    Duration m_elapsed{};
    /// How long it is likely to run; zero: not known.
    Duration m_length{};
    TimePoint m_began{};
    /// When the caller, or the route, gives up.
    TimePoint m_deadline{};
  };

  CallRun(EntryState& state,
          PlaceWaiter& places,
          wire::Client& http,
          Plan plan,
          const wire::Request& request,
          wire::ResponseWriter& caller);

  Awaitable<void> Run();

 private:
  /// Places and sends until an answer is there; false: the caller was told why
  /// not, or left.
  Awaitable<bool> Begin();
  /// Takes a place and sends one attempt; false: no place.
  Awaitable<bool> SendOnce(TimePoint wait_until);
  Awaitable<void> AnswerWhole();
  Awaitable<void> AnswerStream();
  /// Passes on events until the replica's answer ends or breaks; true: it came
  /// to its end.
  Awaitable<bool> RelayEvents();
  /// Learns from this call how much time others need.
  void LearnFromFirstEvent();
  /// Goes on with the stream at another replica; false: none is to be had.
  Awaitable<bool> Resume();
  /// No answer will come: says what is known of the call.
  Awaitable<void> GiveUp();
  Awaitable<void> Refuse(decide::Refusal refusal);
  Awaitable<void> Tell(int status,
                       const std::string& reason,
                       Duration retry_after);

  /// Ends the attempt at the present replica.
  void EndAttempt(decide::AttemptEnd end);
  bool TakeRepeat(decide::AttemptEnd end);
  /// Before the call is placed again.
  void PrepareRepeat();
  /// Takes a place for a stream that was broken off, and sends it there: in
  /// time for its caller if possible, else late; false: no place.
  Awaitable<bool> SendAgain();
  platform::ForwardedCall Forwarded(const decide::ReplicaState& replica) const;
  /// When a call that hasn't begun at `replica` must not begin there any more.
  /// A call may wait in a replica's queue for a second: it was sent while older
  /// weights were allowed and would begin when they aren't.
  TimePoint WeightsDeadline(const decide::ReplicaState& replica) const;
  void NoteBreak();
  void LogAttempt(decide::AttemptEnd end);
  void LogCall(const std::string& outcome, int status);
  /// Who ended an answer before it was whole: `replica`, `caller`, `time` (of
  /// the caller or the route), `silence` (this entry, with time left).
  const char* EndedBy() const;
  Duration Left() const { return m_plan.m_deadline - Now(); }

  EntryState& m_state;
  PlaceWaiter& m_places;
  wire::Client& m_http;
  const Plan m_plan;
  const wire::Request& m_request;
  wire::ResponseWriter& m_caller;
  decide::CallProgress m_progress;
  decide::PoolCall m_pool_call;
  /// The replica that has a place taken for this call; empty: none.
  std::string m_replica;
  std::string m_incarnation;
  AttemptResult m_attempt;
  decide::EventSplitter m_events;
  bool m_head_sent = false;
  TimePoint m_sent_at{};
  uint32_t m_attempts = 0;
  CallTimes m_times;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RUN_H_
