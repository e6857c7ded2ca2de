#ifndef VERBENALEAD_DECIDE_TARGET_HEALTH_H_
#define VERBENALEAD_DECIDE_TARGET_HEALTH_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// How a target's own answers speak of it.
///
/// Made for a target that is slow or failing while it reports itself open and
/// idle: the faster it fails, the emptier it looks, and the more it is given.
struct TargetHealth {
  /// Decayed mean of its time per unit of work over the pool's.
  double m_slowness = 1;
  uint32_t m_samples = 0;
  /// Decayed share of attempts that failed.
  double m_failures = 0;
  /// Ejections in a row.
  uint32_t m_ejections = 0;
  /// Left alone until then, and after that only probed.
  TimePoint m_ejected_until{};
  bool m_ejected = false;
};

/// Weight of one sample: three slow answers in a row show in the mean.
constexpr double kHealthDecay = 0.3;
/// A target this many times slower than the pool is worse than a queue for the
/// others. Twice happens by chance and by long prompts.
constexpr double kSlowFactor = 3;
constexpr uint32_t kLeastSamples = 3;
constexpr double kFailingShare = 0.5;
/// First ejection, doubled for each further one: a host that restarts is back
/// soon, one that is broken costs one probe in half a minute.
constexpr Duration kFirstEjection = 1s;
constexpr Duration kLongestEjection = std::chrono::seconds(32);

enum class AttemptSign { kGood, kFailed, kBroken };

void Eject(TargetHealth& health, TimePoint now);
/// An attempt there has ended; `slowness` is its time over what the pool takes
/// for such a call, 0 where that is unknown. Returns whether it was ejected.
bool Observe(TargetHealth& health,
             AttemptSign sign,
             double slowness,
             TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TARGET_HEALTH_H_
