#ifndef VERBENALEAD_DECIDE_PLACEMENT_REPLICA_SPEED_H_
#define VERBENALEAD_DECIDE_PLACEMENT_REPLICA_SPEED_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Moving average of the run times of calls.
struct RunTimeMean {
  double m_mean_seconds = 0;
  /// Number of calls that count, at most kMeanRuns.
  uint32_t m_runs = 0;
  TimePoint m_begun_at{};
  TimePoint m_updated_at{};

  friend bool operator==(const RunTimeMean&, const RunTimeMean&) = default;
};

/// What an entry knows of how fast one incarnation of a replica is.
///
/// Load: replicas of one service that differ in speed, or that turn slow. Harm:
/// a slow replica gets as many calls as the others, so its calls begin late
/// while faster replicas have free slots.
struct ReplicaSpeed {
  /// Factor by which a model replica is slower than usual, as its target
  /// process stated last.
  double m_stated_pace = 1;
  TimePoint m_stated_at{};
  /// Calls of this entry at a plain replica.
  RunTimeMean m_run_time;

  friend bool operator==(const ReplicaSpeed&, const ReplicaSpeed&) = default;
};

/// Number of calls over which a mean is taken.
constexpr uint32_t kMeanRuns = 20;
/// With fewer calls a mean says nothing.
constexpr uint32_t kMinRuns = 5;
/// A pace that wasn't stated again for this long no longer counts: its target
/// process is silent.
constexpr Duration kPaceLifetime = 5s;
/// A mean of run times begins anew after this time, and no longer counts this
/// long after the last call, so that a replica that gets few calls because it
/// was slow shows its speed again.
constexpr Duration kRunTimeLifetime = 10s;
/// A replica counts as at most this many times slower or faster, so that a
/// wrong value leaves it a tenth of its share of the calls.
constexpr double kMaxSlowness = 10;
/// A stated pace above this is taken for an error and ignored. Valid paces
/// above kMaxSlowness are clamped to it.
constexpr double kMaxPace = 100;

/// The stated pace if it is valid; a replica that states to be faster than
/// usual counts as usual. Nothing: it isn't valid.
std::optional<double> ValidPace(double stated);

void AddRun(RunTimeMean& mean, Duration run, TimePoint now);

/// How many times slower the replica is than usual, 1 / kMaxSlowness to
/// kMaxSlowness; below 1 for a plain replica that is faster than the mean.
/// `pool`: run times at all replicas of the service.
double Slowness(const ReplicaSpeed& speed,
                const RunTimeMean& pool,
                TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_REPLICA_SPEED_H_
