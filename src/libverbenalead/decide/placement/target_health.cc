#include "decide/placement/target_health.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

void Reinstate(TargetHealth& health) {
  health.m_ejected = false;
  health.m_ejected_until = {};
  health.m_slowness = 1;
  health.m_samples = 0;
  health.m_failures = 0;
}

/// Reinstates or ejects the target by the result of a single probe: there is no
/// other sample, as a probe is the only call at its target.
bool ObserveProbe(TargetHealth& health,
                  HealthSample sample,
                  double slowness,
                  TimePoint now) {
  if (sample != HealthSample::kGood || slowness > kSlowEjectionFactor) {
    Eject(health, now);
    return true;
  }
  Reinstate(health);
  return false;
}

}  // namespace

void Eject(TargetHealth& health, TimePoint now) {
  const uint32_t doublings = std::min<uint32_t>(health.m_ejections, 5);
  const Duration length =
      std::min<Duration>(kFirstEjection * (1 << doublings), kMaxEjection);
  health.m_ejected = true;
  health.m_ejected_until = now + length;
  ++health.m_ejections;
}

bool RecordAttempt(TargetHealth& health,
                   HealthSample sample,
                   double slowness,
                   TimePoint now) {
  if (health.m_ejected) {
    // Results of calls sent before the ejection are ignored.
    if (now < health.m_ejected_until)
      return false;
    return ObserveProbe(health, sample, slowness, now);
  }
  const double failed = sample == HealthSample::kGood ? 0 : 1;
  health.m_failures += kHealthDecay * (failed - health.m_failures);
  if (slowness > 0) {
    health.m_slowness += kHealthDecay * (slowness - health.m_slowness);
    ++health.m_samples;
  }
  // One broken connection is enough for an ejection: its usual cause is the
  // failure of the host.
  const bool bad = sample == HealthSample::kBroken ||
                   health.m_failures > kFailureEjectionShare ||
                   (health.m_samples >= kMinSlownessSamples &&
                    health.m_slowness > kSlowEjectionFactor);
  if (bad) {
    Eject(health, now);
    return true;
  }
  if (health.m_samples >= 4 * kMinSlownessSamples)
    health.m_ejections = 0;
  return false;
}

}  // namespace verbenalead::decide
