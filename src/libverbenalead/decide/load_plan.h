#ifndef VERBENALEAD_DECIDE_LOAD_PLAN_H_
#define VERBENALEAD_DECIDE_LOAD_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// What is known of the times that new weights take.
struct LoadTimes {
  /// Time from a declaration until the last replica must begin to load.
  Duration m_bound{};
  /// Time that the chunks take to all hosts.
  Duration m_transfer{};

  friend bool operator==(const LoadTimes&, const LoadTimes&) = default;
};

/// Which version a replica loads next, and when the replicas of its service do.
struct LoadPlan {
  uint64_t m_version = 0;
  /// The first and the last turn to begin a load.
  TimePoint m_first{};
  TimePoint m_last{};

  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

/// A version that was declared.
struct DeclaredVersion {
  /// When it was seen to be.
  TimePoint m_declared{};
  /// When its chunks came here, or will as far as can be foreseen.
  TimePoint m_here{};

  friend bool operator==(const DeclaredVersion&,
                         const DeclaredVersion&) = default;
};

/// The plan of a replica that has `loaded`; nothing if that is the newest.
///
/// Versions may come faster than they can be loaded. A replica then skips one
/// where the newer one can be everywhere before the older one binds, for each
/// load takes it out of service; else it takes them one after the other, for
/// between the two bounds a replica with neither takes no calls. One that
/// comes so late that the newer one bars it soon after is skipped as well: it
/// would cost a second load, and the newer one would come later for it.
///
/// The turns fill all the time that there is. Load: 27 replicas that each are
/// out of service for a second, at three quarters of what they can do. With
/// turns in half of the time ten were out at once, streams that were broken off
/// found no room, and 50 of 100 calls were late; with all of it five to six
/// are.
std::optional<LoadPlan> PlanLoad(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    uint64_t loaded);

/// When `replica`, one of `replicas`, stops taking calls and loads.
///
/// Made for a new version at the peak: replicas that load all at once leave
/// callers without any. The turns are spread evenly, in an order that each host
/// works out alone from the same list, so that nobody has to be asked and
/// nobody's death holds up the others.
TimePoint LoadTurn(const LoadPlan& plan,
                   const std::string& replica,
                   std::vector<std::string> replicas);

/// How long calls may run on at a replica that stops taking them to load.
///
/// Load: a rollout beside live streams of a second and more. Harm: each one
/// that is broken off is read anew elsewhere, pauses there, and is lost if that
/// replica loads next or the repeats are used up. With room elsewhere all may
/// end. Where the pool is full the replica itself is needed, and half of them
/// may. `fullness`: the part of the places at usable replicas that is taken; as
/// replicas that drain for long fill the others, it settles in between.
Duration DrainTime(double fullness);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LOAD_PLAN_H_
