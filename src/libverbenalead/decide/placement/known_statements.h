#ifndef VERBENALEAD_DECIDE_PLACEMENT_KNOWN_STATEMENTS_H_
#define VERBENALEAD_DECIDE_PLACEMENT_KNOWN_STATEMENTS_H_

#include "decide/limits/cold_state.h"
#include "decide/limits/rate_limit.h"

namespace verbenalead::decide {

/// What a process knows of the statements that one incarnation of a replica has
/// made of itself, see model::ReplicaStatements.
struct KnownStatements {
  /// From its answers, its target process or other entries.
  RateLimit m_rate_limit;
  /// From its row in the store, its answers, its target process or other
  /// entries, or presumed.
  ColdState m_cold;
  /// It is leaving, by its row in the store, its answers, its target process or
  /// other entries. Final for the incarnation.
  bool m_leaving = false;
  /// Until this time this entry sends it nothing, as it asked this entry for a
  /// rest. It says nothing of other entries.
  TimePoint m_rest_until{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_KNOWN_STATEMENTS_H_
