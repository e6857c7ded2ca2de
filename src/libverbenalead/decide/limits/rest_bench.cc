/// Prints one line for each fleet: a third of the replicas reject all calls for
/// 8 s, with and without asking for a rest.
///
///     bench=rest entries=300 rest_s=3 loss=0.05 calls=... refused_with_room=0
///
/// Time is simulated, so the results are the same on any machine.
#include <cstdio>

#include "decide/limits/fake_rest_fleet.h"

namespace verbenalead::decide {
namespace {

void Measure(const RestFleetSettings& settings) {
  const RestFleetResult result = FakeRestFleet(settings).Run();
  std::printf(
      "bench=rest entries=%u replicas=%u rest_s=%g loss=%g calls=%llu "
      "arrivals_per_call=%.3f refused=%llu refused_with_room=%llu "
      "worst_rest=%u first_50ms=%u first_second=%u\n",
      settings.m_entries, settings.m_replicas,
      std::chrono::duration<double>(settings.m_rest).count(), settings.m_loss,
      static_cast<unsigned long long>(result.m_calls),
      static_cast<double>(result.m_arrivals) /
          static_cast<double>(result.m_calls),
      static_cast<unsigned long long>(result.m_refused),
      static_cast<unsigned long long>(result.m_refused_with_room),
      result.m_worst_rest, result.m_first_50ms, result.m_first_second);
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  using namespace verbenalead;
  struct Size {
    uint32_t m_entries;
    uint32_t m_replicas;
    double m_calls_per_second;
  };
  for (const Size size :
       {Size{8, 12, 85}, Size{44, 76, 530}, Size{300, 450, 3150}}) {
    for (const Duration rest : {Duration(0s), Duration(3s)}) {
      for (const double loss : {0.0, 0.05}) {
        decide::RestFleetSettings settings;
        settings.m_entries = size.m_entries;
        settings.m_replicas = size.m_replicas;
        settings.m_rejecting = size.m_replicas / 3;
        settings.m_calls_per_second = size.m_calls_per_second;
        settings.m_rest = rest;
        settings.m_loss = loss;
        decide::Measure(settings);
      }
    }
  }
  return 0;
}
