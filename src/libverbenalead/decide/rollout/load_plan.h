#ifndef VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>

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

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_LOAD_PLAN_H_
