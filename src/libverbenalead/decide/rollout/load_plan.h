#ifndef VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Expected times of the rollout of a weights version.
struct LoadTimes {
  /// Time from a declaration until the last replica must begin to load.
  Duration m_bound{};
  /// Time that the transfer of the chunks to all hosts takes.
  Duration m_transfer{};

  friend bool operator==(const LoadTimes&, const LoadTimes&) = default;
};

/// The version that a replica loads next, and the time window in which the
/// replicas of its service begin to load.
struct LoadPlan {
  uint64_t m_version = 0;
  /// When the first and the last replica begin to load.
  TimePoint m_first_load_at{};
  TimePoint m_last_load_at{};

  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

/// A declared weights version, as seen by one host.
struct DeclaredVersion {
  /// Time of its declaration, as known to this host.
  TimePoint m_declared{};
  /// When its chunks became complete on this host, or an estimate of when they
  /// will.
  TimePoint m_complete_at{};
  /// The version is no longer fetched, so it is never loaded. It still becomes
  /// binding.
  bool m_given_up = false;

  friend bool operator==(const DeclaredVersion&,
                         const DeclaredVersion&) = default;
};

/// The plan of a replica that has loaded version `loaded`; nullopt if that is
/// the newest one.
///
/// Once a version is binding, replicas with an older version take no calls.
/// Versions may be declared faster than they can be loaded, and each load takes
/// the replica out of service. An older version is skipped if the newer one can
/// be on all hosts before the older one becomes binding. Otherwise both are
/// loaded, one after the other, since between the two bounds a replica with
/// neither takes no calls. A version that arrives so late that a newer one
/// becomes binding soon after is skipped as well: loading it would cost a
/// second load and delay the newer version.
///
/// The loads are spread over the whole available time. Load: 27 replicas, each
/// out of service for a second, at three quarters of their capacity. Harm: with
/// the loads in half of the time, ten replicas were out of service at once,
/// interrupted streams found no free slot, and 50 of 100 calls were late. With
/// the whole time, five to six replicas are out of service at once.
std::optional<LoadPlan> PlanLoad(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    uint64_t loaded);

/// When `replica`, one of `replicas`, stops taking calls and loads.
///
/// If all replicas loaded a new version at once at peak load, callers would
/// find no replica. The load times are spread evenly over the window of `plan`,
/// in an order that each host computes from the same list. The hosts need not
/// coordinate, and a host that fails does not delay the others.
TimePoint ScheduledLoadTime(const LoadPlan& plan,
                            const std::string& replica,
                            std::vector<std::string> replicas);

/// How long running calls may continue at a replica that stops taking calls in
/// order to load.
///
/// Load: a rollout while streams of a second and more are running. Harm: an
/// interrupted stream is prefilled again at another replica, pauses meanwhile,
/// and is lost if that replica loads next or the retries are used up. If other
/// replicas have free slots, nearly all streams may finish. If the pool is
/// full, the replica itself is needed, and only half of its streams may finish.
/// `fullness` is the share of occupied slots at usable replicas. Since long
/// drains fill the other replicas, the drain time settles at a value in
/// between.
Duration DrainTime(double fullness);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_
