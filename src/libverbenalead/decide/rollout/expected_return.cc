#include "decide/rollout/expected_return.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Time from the report that a replica takes no calls until its load begins:
/// its calls finish or are interrupted.
constexpr Duration kUsualDrain = 400ms;
/// When a replica that should be back already is expected.
constexpr Duration kOverdueReturn = 100ms;
/// Reciprocal of the share of the loading replicas that must be back before
/// refused calls are tried again.
constexpr size_t kNeededReplicasDivisor = 4;

}  // namespace

std::vector<ExpectedReturn> ExpectedReturns(const ReplicaPool& pool,
                                            Duration load,
                                            TimePoint now) {
  std::vector<ExpectedReturn> returns;
  for (const auto& [id, state] : pool.m_replicas) {
    if (state.m_known.m_leaving || state.m_loading_until <= now)
      continue;
    const TimePoint back_at = state.m_loading_since + kUsualDrain + load;
    returns.push_back({std::max(back_at, now + kOverdueReturn), 0});
  }
  std::sort(returns.begin(), returns.end(),
            [](const ExpectedReturn& a, const ExpectedReturn& b) {
              return a.m_at < b.m_at;
            });
  for (size_t i = 0; i < returns.size(); ++i)
    returns[i].m_replicas = i + 1;
  return returns;
}

std::optional<Duration> WaitForLoads(const ReplicaPool& pool,
                                     Duration load,
                                     TimePoint now) {
  const auto returns = ExpectedReturns(pool, load, now);
  if (returns.empty())
    return std::nullopt;
  return returns[(returns.size() - 1) / kNeededReplicasDivisor].m_at - now;
}

}  // namespace verbenalead::decide
