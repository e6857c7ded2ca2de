#ifndef VERBENALEAD_DECIDE_MEMBERSHIP_TARGET_WATCH_H_
#define VERBENALEAD_DECIDE_MEMBERSHIP_TARGET_WATCH_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/host.h"

namespace verbenalead::decide {

/// Number of targets that one entry watches, in all pools together. Each idle
/// target costs about 130 bytes a second, so that 48 targets stay below the
/// 8 KB a second that a daemon may spend on control traffic. Pools of 12
/// targets are watched completely.
constexpr size_t kTargetsPerEntry = 48;
/// Minimum number of targets that an entry watches in each pool. With fewer,
/// one slow and one lost target would leave no choice.
constexpr size_t kMinTargetsPerPool = 4;
/// Number of entries that watch a target whatever its pool. Three, so that the
/// target is still watched after two of them are lost together.
constexpr size_t kReportersPerTarget = 3;
/// A watched target that has not answered for this time is considered dead or
/// cut off, and the next target by rank is watched in addition.
constexpr Duration kTargetTimeout = 3s;

/// A target in the ranking of its pool by this entry.
struct RankedTarget {
  model::Host m_host;
  /// Whether this entry is one of the target's kReportersPerTarget.
  bool m_is_reporter = false;
};

/// The targets that an entry knows of. Hosts come from the platform's host
/// list, which lags behind and is only a hint; whether a host is alive is
/// learned from the host itself.
struct TargetWatchState {
  std::string m_self;
  std::string m_region;
  /// Targets by pool, in order of preference. Ranked when the host list changes
  /// and not at each use, as ranking takes two milliseconds with 630 entries
  /// and 1,700 targets.
  std::map<std::string, std::vector<RankedTarget>> m_pools;
  /// When each target last answered, or was first watched.
  std::map<std::string, TimePoint> m_last_seen;
};

/// Replaces the host list. Targets that are no longer listed are removed.
void SetHosts(TargetWatchState& state, const std::vector<model::Host>& hosts);

/// Records that target `name` has answered.
void RecordAnswer(TargetWatchState& state,
                  const std::string& name,
                  TimePoint now);

/// The targets that this entry has to watch now: in each pool, those that rank
/// highest by rendezvous hash with this entry, with targets of its own region
/// first, and all targets for which it is one of the kReportersPerTarget. When
/// a target goes, only its own position in the selection changes.
std::vector<model::Host> TargetsToWatch(TargetWatchState& state, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_MEMBERSHIP_TARGET_WATCH_H_
