#include "decide/placement/replica_speed.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Run times of single calls vary: a replica whose mean differs from the pool's
/// by less than this factor counts as equally fast.
constexpr double kMinRunTimeRatio = 1.25;

/// The ratio of the mean run times; 1 if either isn't known.
double LearnedSlowness(const RunTimeMean& replica,
                       const RunTimeMean& pool,
                       TimePoint now) {
  if (replica.m_runs < kMinRuns || pool.m_runs < kMinRuns ||
      now - replica.m_updated_at >= kRunTimeLifetime ||
      replica.m_mean_seconds <= 0 || pool.m_mean_seconds <= 0)
    return 1;
  const double ratio = replica.m_mean_seconds / pool.m_mean_seconds;
  return std::max(ratio, 1 / ratio) < kMinRunTimeRatio ? 1 : ratio;
}

}  // namespace

std::optional<double> ValidPace(double stated) {
  if (!(stated > 0) || stated > kMaxPace)
    return std::nullopt;
  return std::max(1.0, stated);
}

void AddRun(RunTimeMean& mean, Duration run, TimePoint now) {
  if (now - mean.m_begun_at >= kRunTimeLifetime)
    mean = {0, 0, now, now};
  mean.m_runs = std::min(mean.m_runs + 1, kMeanRuns);
  mean.m_mean_seconds +=
      (std::chrono::duration<double>(run).count() - mean.m_mean_seconds) /
      mean.m_runs;
  mean.m_updated_at = now;
}

double Slowness(const ReplicaSpeed& speed,
                const RunTimeMean& pool,
                TimePoint now) {
  const double stated =
      now - speed.m_stated_at < kPaceLifetime ? speed.m_stated_pace : 1;
  const double learned = LearnedSlowness(speed.m_run_time, pool, now);
  return std::clamp(stated * learned, 1 / kMaxSlowness, kMaxSlowness);
}

}  // namespace verbenalead::decide
