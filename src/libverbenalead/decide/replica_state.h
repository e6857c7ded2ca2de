#ifndef VERBENALEAD_DECIDE_REPLICA_STATE_H_
#define VERBENALEAD_DECIDE_REPLICA_STATE_H_

#include <cstdint>

#include "base/time.h"
#include "model/replica.h"

namespace verbenalead::decide {

/// What one entry knows of a replica, beside what the replica says of itself.
struct ReplicaState {
  model::Replica m_replica;
  /// Calls of this entry that the replica has.
  uint32_t m_in_flight = 0;
  /// Of these, calls for which the target has been asked and hasn't answered,
  /// and their prompt tokens.
  uint32_t m_asked = 0;
  uint64_t m_asked_unread = 0;
  /// Calls of the other entries, as they last told.
  uint32_t m_elsewhere = 0;
  /// Prompt tokens of those calls that haven't begun to answer, ours and
  /// theirs.
  uint64_t m_unread = 0;
  uint64_t m_unread_elsewhere = 0;
  /// Calls of all entries that wait there for a place, as it was last told.
  uint32_t m_waiting = 0;
  /// Newest version of the weights that it was seen with, in any way.
  uint64_t m_weights = 0;
  /// Until then it is known to load weights soon.
  TimePoint m_closing_until{};
  /// It takes no calls until then, for it is about to load or loads weights.
  TimePoint m_loading_until{};
  /// Its target doesn't answer: until then what is known of its load may be
  /// wrong.
  TimePoint m_silent_until{};
  /// It gets no calls until then, after a failure.
  TimePoint m_avoid_until{};
  uint32_t m_failures_in_row = 0;
  /// Share of calls that failed lately, 0 to 1.
  double m_failure_share = 0;
  /// Set once its row has gone while the store was unsound: it is kept until
  /// then, since a row may have lapsed though the replica lives.
  TimePoint m_missing_until{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REPLICA_STATE_H_
