#ifndef VERBENALEAD_DECIDE_PLACEMENT_TARGET_HEALTH_H_
#define VERBENALEAD_DECIDE_PLACEMENT_TARGET_HEALTH_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Health of a target, derived from the results of the attempts sent to it
/// (outlier ejection).
///
/// Load: a target that is slow or failing while it reports itself open and
/// idle.
/// Harm: the faster it fails calls, the less loaded it looks, and the more
/// calls it would get from placement by load.
struct TargetHealth {
  /// Decayed mean of the ratio of the target's time per unit of work to the
  /// mean of the pool.
  double m_slowness = 1;
  uint32_t m_samples = 0;
  /// Decayed fraction of attempts that failed.
  double m_failures = 0;
  /// Number of consecutive ejections.
  uint32_t m_ejections = 0;
  /// End of the ejection. Until then the target gets no calls, and after that
  /// only probes until one of them succeeds.
  TimePoint m_ejected_until{};
  bool m_ejected = false;
};

/// Weight of one sample in the means: three consecutive slow answers raise the
/// mean noticeably.
constexpr double kHealthDecay = 0.3;
/// A target is ejected when it is more than this many times slower than the
/// pool: waiting for another target then costs less. A factor of two also
/// occurs by chance and with long prompts.
constexpr double kSlowEjectionFactor = 3;
constexpr uint32_t kMinSlownessSamples = 3;
constexpr double kFailureEjectionShare = 0.5;
/// Length of the first ejection, doubled for each further one up to
/// kMaxEjection. A host that restarts is used again soon; a host that stays
/// broken costs one probe in half a minute.
constexpr Duration kFirstEjection = 1s;
constexpr Duration kMaxEjection = std::chrono::seconds(32);

enum class HealthSample { kGood, kFailed, kBroken };

void Eject(TargetHealth& health, TimePoint now);
/// Records the end of an attempt. `slowness` is the ratio of its duration to
/// the duration expected from the mean of the pool, 0 if that is unknown.
/// Returns whether the target was ejected.
bool RecordAttempt(TargetHealth& health,
                   HealthSample sample,
                   double slowness,
                   TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_TARGET_HEALTH_H_
