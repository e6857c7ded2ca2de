#ifndef VERBENALEAD_DECIDE_PLACE_QUEUE_H_
#define VERBENALEAD_DECIDE_PLACE_QUEUE_H_

#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace verbenalead::decide {

/// What a replica has to do.
struct ReplicaLoad {
  uint32_t m_calls = 0;
  /// Prompt tokens of the calls that haven't begun to answer.
  uint64_t m_unread = 0;

  friend bool operator==(const ReplicaLoad&, const ReplicaLoad&) = default;
};

/// A call that an entry would like to place at a replica.
struct PlaceWish {
  Endpoint m_entry;
  /// The entry's number of this wish.
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// It can still be on time.
  bool m_fresh = true;
  /// By then its prompt, and all before it, must have been read if it is to be
  /// on time. Of a call that can't be any more: when it was told.
  TimePoint m_read_by{};
  /// How long it waits; in the past: not at all.
  TimePoint m_until{};

  friend bool operator==(const PlaceWish&, const PlaceWish&) = default;
};

/// The calls of all entries that wait for a place at one replica.
///
/// Load: a pool above what it can do, and entries that each know their own
/// calls only. Harm: a place that came free at one entry went to a caller's
/// second try, though calls that could still be on time waited at another; and
/// calls were placed behind prompts that took all the time that they had left.
/// The place is granted where it comes free, to the most urgent call; nobody is
/// placed before it, not even a call that could start while the replica still
/// has too much to read for the first, for its prompt would be read before the
/// other's. A call that can't be on time any more gets a place only if no other
/// wants it.
///
///     if (Ask(queue, wish, load, now) == PlaceVerdict::kGranted) ...
///     for (const PlaceWish& granted : Grant(queue, load, now)) ...
///
/// Waiting here binds nobody: a call may wait at several replicas, the first
/// grant is taken, and the other wishes are withdrawn.
struct PlaceQueue {
  /// A call that was granted a place and has yet to begin.
  struct Promise {
    /// By then its prompt, and all before it, must have been read.
    TimePoint m_read_by{};
    /// By then they are, unless more prompts come.
    TimePoint m_read_at{};
  };

  uint32_t m_slots = 0;
  /// Prompt tokens read in a second.
  double m_prefill_rate = 0;
  std::vector<PlaceWish> m_wishes;
  /// Those that can be on time.
  std::vector<Promise> m_promises;
};

enum class PlaceVerdict {
  kGranted,
  kQueued,
  /// It can't be on time here, or didn't want to wait.
  kDenied,
};

/// An entry asks for a place, with the replica's load as it is now.
PlaceVerdict Ask(PlaceQueue& queue,
                 const PlaceWish& wish,
                 const ReplicaLoad& load,
                 TimePoint now);

/// Wishes that get a place now, the most urgent first. Those that can't be
/// fulfilled any more are forgotten.
std::vector<PlaceWish> Grant(PlaceQueue& queue,
                             ReplicaLoad load,
                             TimePoint now);

/// The call has a place elsewhere, or its caller left.
void Withdraw(PlaceQueue& queue, const Endpoint& entry, uint64_t ticket);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACE_QUEUE_H_
