#ifndef VERBENALEAD_DECIDE_PLACEMENT_TARGET_VIEW_H_
#define VERBENALEAD_DECIDE_PLACEMENT_TARGET_VIEW_H_

#include <cstdint>

#include "base/time.h"
#include "decide/placement/target_health.h"
#include "model/target_report.h"

namespace verbenalead::decide {

/// The state of a target as this entry knows it.
struct TargetView {
  model::TargetReport m_report;
  TimePoint m_reported_at{};
  /// Attempts of this entry that are in flight at the target: an exact count,
  /// whereas the report lags.
  uint32_t m_in_flight = 0;
  /// Attempts of other entries at the target, as of m_others_seen_at.
  uint32_t m_other_attempts = 0;
  TimePoint m_others_seen_at{};
  /// End of the pause after the target refused an attempt, usually because it
  /// was full.
  TimePoint m_full_until{};
  /// Units of work that this entry sent to the target, halved every
  /// kWorkHalvingInterval.
  double m_recent_work = 0;
  TargetHealth m_health;
  /// Hash of the target's name, for rendezvous hashing.
  uint64_t m_hash = 0;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_TARGET_VIEW_H_
