#ifndef VERBENALEAD_DECIDE_TARGET_VIEW_H_
#define VERBENALEAD_DECIDE_TARGET_VIEW_H_

#include <cstdint>

#include "base/time.h"
#include "decide/target_health.h"
#include "model/target_report.h"

namespace verbenalead::decide {

/// A target as this entry sees it.
struct TargetView {
  model::TargetReport m_report;
  TimePoint m_reported_at{};
  /// Attempts of this entry that are under way there: known at once, where the
  /// report lags.
  uint32_t m_in_flight = 0;
  /// Attempts of other entries, when last heard of.
  uint32_t m_others = 0;
  TimePoint m_others_at{};
  /// It said that it was full, and is left alone until then.
  TimePoint m_full_until{};
  /// Units of work sent there lately.
  double m_work = 0;
  TargetHealth m_health;
  /// Hash of its name, for rendezvous.
  uint64_t m_hash = 0;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TARGET_VIEW_H_
