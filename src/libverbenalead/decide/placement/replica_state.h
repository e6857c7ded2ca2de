#ifndef VERBENALEAD_DECIDE_PLACEMENT_REPLICA_STATE_H_
#define VERBENALEAD_DECIDE_PLACEMENT_REPLICA_STATE_H_

#include <cstdint>

#include "base/time.h"
#include "decide/placement/known_statements.h"
#include "decide/placement/replica_speed.h"
#include "model/replica.h"

namespace verbenalead::decide {

/// State of a replica as one entry sees it, beside what the replica reports of
/// itself.
struct ReplicaState {
  model::Replica m_replica;
  /// Calls of this entry that hold a slot at the replica.
  uint32_t m_in_flight = 0;
  /// Of these, the calls whose slot request the target has not answered yet,
  /// and their prompt tokens.
  uint32_t m_open_slot_requests = 0;
  uint64_t m_requested_unread_tokens = 0;
  /// Calls of the other entries, as last reported.
  uint32_t m_other_entries_calls = 0;
  /// Prompt tokens of the calls that have not begun to answer, of this entry
  /// and of the other entries.
  uint64_t m_unread_tokens = 0;
  uint64_t m_other_entries_unread_tokens = 0;
  /// Calls of all entries that wait for a slot at the replica, as last
  /// reported.
  uint32_t m_queued_calls = 0;
  /// Newest version of the weights that any source reported for the replica.
  uint64_t m_weights = 0;
  /// Until this time the replica is expected to load new weights soon.
  TimePoint m_closing_until{};
  /// Until this time it takes no calls, because it loads weights or is about
  /// to.
  TimePoint m_loading_until{};
  /// When the present load was first reported.
  TimePoint m_loading_since{};
  /// Its target did not answer: until this time the known load of the replica
  /// may be outdated.
  TimePoint m_unresponsive_until{};
  /// Until this time it gets calls that are suspected to crash replicas, and
  /// others only if no other replica has a free slot.
  TimePoint m_isolates_until{};
  KnownStatements m_known;
  ReplicaSpeed m_speed;
  /// End of the cold time that was logged last; the default: it was warm.
  TimePoint m_cold_logged_until{};
  /// Until this time this entry doesn't ask for a token of its rate limit,
  /// because there was none.
  TimePoint m_rate_held_until{};
  /// Calls of this entry that got a slot there since its last rest began.
  uint32_t m_calls_since_rest = 0;
  /// Until this time it gets no calls, because an attempt failed or was
  /// rejected.
  TimePoint m_backoff_until{};
  uint32_t m_consecutive_failures = 0;
  /// Calls that it rejected since it last ran one, each after a pause.
  uint32_t m_rejections = 0;
  /// Moving average of the share of calls that failed, 0 to 1.
  double m_failure_rate = 0;
  /// Set when its row disappears from the store: the replica is kept until this
  /// time, since after an outage of the store a row may have expired although
  /// its replica lives.
  TimePoint m_keep_until{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_REPLICA_STATE_H_
