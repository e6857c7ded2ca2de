/// Prints one line for each fleet, limit and policy: the most requests in any 4
/// s against what is allowed, the part of the limit that is used, and the
/// requests for tokens per second.
///
///     bench=rate entries=300 limit=1 policy=one_holder worst=6 allowed=11 ...
///
/// Time is simulated, so the results are the same on any machine.
#include <cstdio>

#include "decide/limits/fake_rate_fleet.h"

namespace verbenalead::decide {
namespace {

const char* ToString(RatePolicy policy) {
  switch (policy) {
    case RatePolicy::kOneHolder:
      return "one_holder";
    case RatePolicy::kEqualShare:
      return "equal_share";
    case RatePolicy::kEachAlone:
      return "each_alone";
  }
  return "unknown";
}

void Measure(const RateFleetSettings& settings) {
  FakeRateFleet fleet(settings);
  const RateFleetResult result = fleet.Run();
  const double seconds =
      std::chrono::duration<double>(settings.m_duration).count();
  std::printf(
      "bench=rate entries=%u limit=%g policy=%s single_caller=%d loss=%g "
      "worst=%u allowed=%g used=%.3f asks_per_s=%.1f\n",
      settings.m_entries, settings.m_limit, ToString(settings.m_policy),
      settings.m_single_caller ? 1 : 0, settings.m_loss,
      result.WorstWindow(fleet.Start(), fleet.End()),
      AllowedInWindow(settings.m_limit),
      static_cast<double>(result.m_arrivals.size()) /
          (settings.m_limit * seconds),
      static_cast<double>(result.m_asks) / seconds);
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  using namespace verbenalead::decide;
  for (uint32_t entries : {8U, 44U, 300U}) {
    for (double limit : {0.3, 1.0, 10.0}) {
      for (RatePolicy policy : {RatePolicy::kOneHolder, RatePolicy::kEqualShare,
                                RatePolicy::kEachAlone}) {
        RateFleetSettings settings;
        settings.m_policy = policy;
        settings.m_entries = entries;
        settings.m_limit = limit;
        settings.m_demand = 100 * limit;
        Measure(settings);
        settings.m_single_caller = true;
        Measure(settings);
        settings.m_single_caller = false;
        settings.m_loss = 0.05;
        if (policy == RatePolicy::kOneHolder)
          Measure(settings);
      }
    }
  }
  return 0;
}
