#ifndef VERBENALEAD_DECIDE_ADMISSION_SLOT_QUEUE_H_
#define VERBENALEAD_DECIDE_ADMISSION_SLOT_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "decide/admission/organisation_shares.h"
#include "decide/admission/rank_floor.h"
#include "decide/admission/slot_turnover.h"
#include "decide/limits/rate_gate.h"

namespace verbenalead::decide {

/// Current load of a replica.
struct ReplicaLoad {
  uint32_t m_calls = 0;
  /// Prompt tokens of the calls that haven't begun to answer.
  uint64_t m_unread_tokens = 0;

  friend bool operator==(const ReplicaLoad&, const ReplicaLoad&) = default;
};

/// An entry's request for a slot at a replica, for one call.
struct SlotRequest {
  Endpoint m_entry;
  /// The entry's identifier of this request.
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// The call can still meet its latency objective.
  bool m_can_be_on_time = true;
  /// On-time call: time by which its prompt, and all prompts before it, must
  /// have been read to meet the objective. Late call: time at which the request
  /// arrived; late calls are served in this order.
  TimePoint m_read_deadline{};
  /// Time until which the call waits; a time in the past if it must not wait.
  TimePoint m_until{};
  /// 0 is the most urgent; 0 where all calls of the service have the same.
  int m_rank = 0;
  /// Absent where organisations have no shares; empty if the call is made for
  /// no organisation.
  std::optional<std::string> m_organisation;
  /// Expected run time of the call; zero if unknown.
  Duration m_run_time{};
  /// The request is denied as soon as its turn can't come in its time.
  bool m_deny_early = false;

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Queue of the calls of all entries that wait for a slot at one replica.
///
/// Load: a pool above its capacity, and entries that each know only their own
/// calls. Harm: a slot that came free at one entry went to a caller's retry,
/// while calls that could still be on time waited at another entry; and calls
/// were placed behind prompts that took all the time that these calls had left.
/// So the replica's target grants each free slot to the most urgent waiting
/// call. No other waiting call is granted a slot before the most urgent one.
/// While the replica has too many prompts to read for the most urgent call, a
/// less urgent one might be able to start, but its prompt would be read first
/// and delay the most urgent call further. Only a newly arrived on-time call
/// may start in such a case, see RequestSlot(). A late call gets a slot only if
/// no on-time call wants it.
///
/// Where calls have ranks, the more urgent rank goes first, and within a rank
/// the organisation that has had the least of the replica's time. A call that
/// they put behind may start before the most urgent one if it takes neither a
/// slot nor reading time that this one needs.
///
///     if (RequestSlot(queue, request, load, now) == SlotVerdict::kGranted) ...
///     for (const SlotRequest& granted : GrantSlots(queue, load, now)) ...
///
/// A request does not bind its entry: a call may wait at several replicas, uses
/// the first slot that is granted, and its other requests are withdrawn.
struct SlotQueue {
  /// An on-time call that was granted a slot and has not begun to answer.
  struct GrantedCall {
    /// Time by which its prompt, and all prompts before it, must have been
    /// read.
    TimePoint m_read_deadline{};
    /// Time at which these prompts will have been read, unless more arrive.
    TimePoint m_read_at{};
    int m_rank = 0;
    /// Its organisation had got more than others of the rank.
    bool m_ahead = false;
  };

  uint32_t m_slots = 0;
  /// Prompt tokens that the replica reads per second.
  double m_prefill_rate = 0;
  /// Tokens of the replica's rate limit; a grant takes one.
  RateGate m_rate;
  std::vector<SlotRequest> m_slot_requests;
  std::vector<GrantedCall> m_granted_calls;
  RankFloor m_rank_floor;
  OrganisationShares m_shares;
  SlotTurnover m_turnover;
  /// When a slot last came free.
  TimePoint m_freed_at{};
};

/// Time for which the last free slot is kept for calls that don't yield, see
/// Yields(): targets tell entries of free slots every 50 ms.
constexpr Duration kPrecedenceHold = 60ms;

enum class SlotVerdict {
  kGranted,
  kQueued,
  /// The call can't be on time here, must not wait, or would get no token of
  /// the rate limit in time; or its turn can't come in its time; or the queue
  /// is full.
  kDenied,
};

/// Handles an entry's request for a slot, given the current load of the
/// replica. The request is granted at once if its call can start now and is
/// more urgent than all waiting ones, or if it is on time and the most urgent
/// waiting call can't start yet, since the slot would stay empty otherwise. If
/// not granted, it is queued or denied.
SlotVerdict RequestSlot(SlotQueue& queue,
                        const SlotRequest& request,
                        const ReplicaLoad& load,
                        TimePoint now);

/// Grants free slots to waiting calls, the most urgent first, and returns their
/// requests. Requests that can no longer be met are dropped.
std::vector<SlotRequest> GrantSlots(SlotQueue& queue,
                                    ReplicaLoad load,
                                    TimePoint now);

/// Removes the request of a call that got a slot elsewhere, whose caller left,
/// or whose time is over.
void WithdrawRequest(SlotQueue& queue,
                     const Endpoint& entry,
                     uint64_t ticket,
                     TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_SLOT_QUEUE_H_
