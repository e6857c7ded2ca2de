/// Prints one line for each fleet: requests that share a part of their prompts
/// crash the replicas that begin to answer them.
///
///     bench=crash entries=300 bad=0.05 loss=0.05 crashes=... late=0
///
/// Time is simulated, so the results are the same on any machine.
#include <cstdio>

#include "decide/health/fake_crash_fleet.h"

namespace verbenalead::decide {
namespace {

void Measure(const CrashFleetSettings& settings) {
  const CrashFleetResult result = FakeCrashFleet(settings).Run();
  std::printf(
      "bench=crash entries=%u replicas=%u bad=%g loss=%g restart_ms=%lld "
      "crashes=%u until_blocked=%u blocked_everywhere_ms=%lld late=%u "
      "sound=%u sound_refused=%u sound_lost=%u\n",
      settings.m_entries, settings.m_replicas, settings.m_bad_share,
      settings.m_loss,
      static_cast<long long>(ToMilliseconds(settings.m_restart_at)),
      result.m_crashes, result.m_crashes_until_blocked,
      static_cast<long long>(ToMilliseconds(result.m_blocked_everywhere)),
      result.m_late, result.m_sound_calls, result.m_sound_refused,
      result.m_sound_lost);
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  using namespace verbenalead;
  struct Size {
    uint32_t m_entries;
    uint32_t m_data_centers;
    uint32_t m_replicas;
    double m_calls_per_second;
  };
  for (const Size size :
       {Size{8, 3, 12, 85}, Size{44, 3, 76, 530}, Size{300, 6, 450, 3150}}) {
    decide::CrashFleetSettings settings;
    settings.m_entries = size.m_entries;
    settings.m_data_centers = size.m_data_centers;
    settings.m_replicas = size.m_replicas;
    settings.m_calls_per_second = size.m_calls_per_second;
    for (const double share : {0.005, 0.05}) {
      for (const double loss : {0.0, 0.2}) {
        settings.m_bad_share = share;
        settings.m_loss = loss;
        decide::Measure(settings);
      }
    }
    settings.m_restart_at = 5s;
    decide::Measure(settings);
  }
  return 0;
}
