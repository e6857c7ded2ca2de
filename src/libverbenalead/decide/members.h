#ifndef VERBENALEAD_DECIDE_MEMBERS_H_
#define VERBENALEAD_DECIDE_MEMBERS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/host.h"

namespace verbenalead::decide {

/// Targets that one entry watches, in all pools together. Each costs about 130
/// bytes a second while idle, so 48 stay below the 8 KB a second that a daemon
/// may spend on control; today's pools of 12 are known whole.
constexpr size_t kWatchedPerEntry = 48;
/// Targets of one pool that an entry knows at the least: with fewer, one slow
/// and one lost target would leave no choice.
constexpr size_t kLeastPerPool = 4;
/// Entries that watch a target whatever its pool: three, so that a target is
/// still known after two of them are lost together.
constexpr size_t kReporters = 3;
/// A watched target that says nothing for so long is dead or cut off, and the
/// next one by rank is watched besides.
constexpr Duration kSilentAfter = 3s;

/// A target in the order in which this entry prefers the targets of its pool.
struct RankedTarget {
  model::Host m_host;
  /// Whether this entry is among the target's reporters.
  bool m_reports_here = false;
};

/// What an entry knows of who is there. Hosts come from the platform's list,
/// which lags and is only a hint; who is alive is learned from the hosts.
struct MembersState {
  std::string m_self;
  std::string m_region;
  /// By pool, best first. Ranked when the list changes, not at each look: at
  /// 630 entries and 1,700 targets that takes two milliseconds.
  std::map<std::string, std::vector<RankedTarget>> m_pools;
  /// When a target last answered, or was first watched.
  std::map<std::string, TimePoint> m_heard;
};

/// Takes in the list. Targets that it no longer shows are forgotten.
void SetHosts(MembersState& state, const std::vector<model::Host>& hosts);

/// Target `name` has answered.
void Heard(MembersState& state, const std::string& name, TimePoint now);

/// The targets that this entry is to watch now: those whose rendezvous hash
/// with it ranks highest in each pool, of its own region first, and those that
/// rank it among their kReporters. When one goes, only its own place moves.
std::vector<model::Host> Watched(MembersState& state, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_MEMBERS_H_
