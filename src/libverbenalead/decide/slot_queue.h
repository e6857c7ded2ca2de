#ifndef VERBENALEAD_DECIDE_SLOT_QUEUE_H_
#define VERBENALEAD_DECIDE_SLOT_QUEUE_H_

#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace verbenalead::decide {

/// Current load of a replica.
struct ReplicaLoad {
  uint32_t m_calls = 0;
  /// Prompt tokens of the calls that haven't begun to answer.
  uint64_t m_unread = 0;

  friend bool operator==(const ReplicaLoad&, const ReplicaLoad&) = default;
};

/// An entry's request for a slot at a replica, for one call.
struct PlaceWish {
  Endpoint m_entry;
  /// The entry's identifier of this request.
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// The call can still meet its latency objective.
  bool m_fresh = true;
  /// On-time call: time by which its prompt, and all prompts before it, must
  /// have been read to meet the objective. Late call: time at which the request
  /// arrived; late calls are served in this order.
  TimePoint m_read_by{};
  /// Time until which the call waits; a time in the past if it must not wait.
  TimePoint m_until{};

  friend bool operator==(const PlaceWish&, const PlaceWish&) = default;
};

/// Queue of the calls of all entries that wait for a slot at one replica.
///
/// Load: a pool above its capacity, and entries that each know only their own
/// calls. Harm: a slot that came free at one entry went to a caller's retry,
/// while calls that could still be on time waited at another entry; and calls
/// were placed behind prompts that took all the time that these calls had left.
/// So the replica's target grants each free slot to the most urgent waiting
/// call. No other waiting call is granted a slot before it, even if it could
/// start while the replica still has too many prompts to read for the most
/// urgent one, because its own prompt would be read first and delay that call
/// further. Only a newly arrived on-time call may start in such a case, see
/// Ask(). A late call gets a slot only if no on-time call wants it.
///
///     if (Ask(queue, request, load, now) == PlaceVerdict::kGranted) ...
///     for (const PlaceWish& granted : Grant(queue, load, now)) ...
///
/// A request does not bind its entry: a call may wait at several replicas, uses
/// the first slot that is granted, and its other requests are withdrawn.
struct PlaceQueue {
  /// An on-time call that was granted a slot and has not begun to answer.
  struct Promise {
    /// Time by which its prompt, and all prompts before it, must have been
    /// read.
    TimePoint m_read_by{};
    /// Time at which these prompts will have been read, unless more arrive.
    TimePoint m_read_at{};
  };

  uint32_t m_slots = 0;
  /// Prompt tokens that the replica reads per second.
  double m_prefill_rate = 0;
  std::vector<PlaceWish> m_wishes;
  std::vector<Promise> m_promises;
};

enum class PlaceVerdict {
  kGranted,
  kQueued,
  /// The call can't be on time here or must not wait, or the queue is full.
  kDenied,
};

/// Handles an entry's request for a slot, given the current load of the
/// replica. The request is granted at once if its call can start now and is
/// more urgent than all waiting ones, or if it is on time and the most urgent
/// waiting call can't start yet, since the slot would stay empty otherwise. If
/// not granted, it is queued or denied.
PlaceVerdict Ask(PlaceQueue& queue,
                 const PlaceWish& request,
                 const ReplicaLoad& load,
                 TimePoint now);

/// Grants free slots to waiting calls, the most urgent first, and returns their
/// requests. Requests that can no longer be met are dropped.
std::vector<PlaceWish> Grant(PlaceQueue& queue,
                             ReplicaLoad load,
                             TimePoint now);

/// Removes the request of a call that got a slot elsewhere or whose caller
/// left.
void Withdraw(PlaceQueue& queue, const Endpoint& entry, uint64_t ticket);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_SLOT_QUEUE_H_
