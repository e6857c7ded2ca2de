#ifndef VERBENALEAD_DECIDE_PLACE_H_
#define VERBENALEAD_DECIDE_PLACE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"
#include "decide/service_time.h"
#include "decide/target_view.h"
#include "model/call.h"
#include "model/target_report.h"

namespace verbenalead::decide {

using Random = std::minstd_rand;

/// The targets of one pool.
///
/// Made for several entries that place on the same targets without talking to
/// each other, by reports that lag. Own attempts count in full, others' by the
/// report's age; prefixes choose their targets by hash, alike at every entry.
struct PlaceState {
  std::vector<TargetView> m_targets;
  std::unordered_map<std::string, size_t> m_index;
  /// Time per unit of work over the whole pool.
  ServiceTime m_service;
  /// Decayed mean time of a call, in seconds.
  double m_mean_seconds = 0;
  /// Decayed mean work of a call.
  double m_mean_units = 0;
  PrefixIndex m_prefixes;
  TimePoint m_halved_at{};
};

/// A report older than this no longer counts as a sign of life. A connection
/// that goes silent costs 1.5 s of a question held back, 2 s until the silence
/// is found, and up to 1.25 s until the next answer: a limit below that would
/// take every target behind one dead connection out of use. A host that dies
/// meanwhile is found sooner by the attempts that fail there.
constexpr Duration kReportStale = 6s;
/// A report's count of others' attempts loses its worth about as fast as calls
/// end; before any was measured, as fast as this.
constexpr Duration kLoadFades = 200ms;
/// A full target has room again when one of its calls ends. Until then it is
/// not asked again: asking costs a round trip and delays the call.
constexpr Duration kFullPause = 20ms;
/// No target is given more than this over the mean work, by what this entry has
/// sent lately. As each entry holds to it, so does their sum. The users' limit
/// is 1.25.
constexpr double kWorkBound = 1.15;
/// Nor may it, at the moment, have more of our own attempts than the mean and
/// these: a prefix that many callers send at once spreads to a second target.
constexpr double kOwnBound = 4;
/// How fast work counts as past.
constexpr Duration kHalveWorkEvery = std::chrono::seconds(5);

/// A call waits for a good place for this part of its own expected time at
/// most, and then takes any: so waiting costs each call the same share.
constexpr double kPatience = 0.5;
/// A call with this many times the mean work counts as long.
constexpr double kLongFactor = 2;
/// A long call goes only where this many fewer calls run than on average. A
/// long call that takes the last free slot makes each short one behind it wait
/// many times its own length; the long one hardly feels the wait.
constexpr uint32_t kLongMargin = 3;

/// Takes in a report. One of an older incarnation than the known one is
/// dropped, and `leaving` never reverts within an incarnation.
void Report(PlaceState& state,
            const model::TargetReport& report,
            TimePoint now);
void RemoveTarget(PlaceState& state, const std::string& name);

/// The target for `call`, or nullopt if none can take it now. Targets in
/// `tried` are left out. `waited`: since the call was first to be placed.
std::optional<Placement> Place(const PlaceState& state,
                               const model::Call& call,
                               const std::set<std::string>& tried,
                               Duration waited,
                               TimePoint now,
                               Random& random);

/// How an attempt ended, as far as it speaks of its target.
enum class TargetSign {
  kGood,     ///< It answered.
  kFull,     ///< It had no room.
  kBusier,   ///< It had more under way than the placement allows.
  kRefused,  ///< It did not run the call for another reason, at once.
  kFailed,   ///< It ran the call and failed.
  kBroken,   ///< The connection or the answer broke.
};

/// An attempt has been sent to or has ended at `target`.
void AttemptSent(PlaceState& state,
                 const std::string& target,
                 const model::Call& call,
                 TimePoint now);
void AttemptEnded(PlaceState& state,
                  const std::string& target,
                  const model::Call& call,
                  TargetSign sign,
                  Duration elapsed,
                  TimePoint now);

/// An answer of `target`, of whatever kind, said how many attempts ran there.
/// It is fresher than any report.
void LoadSeen(PlaceState& state,
              const std::string& target,
              uint32_t running,
              TimePoint now);

/// An engine's cache event, however late: `prefix` is cached or was evicted at
/// `when`.
void PrefixCached(PlaceState& state,
                  const std::string& target,
                  uint64_t prefix,
                  TimePoint when);
void PrefixEvicted(PlaceState& state,
                   const std::string& target,
                   uint64_t prefix,
                   TimePoint when);

/// Attempts that the usable targets can run at once.
uint32_t UsableCapacity(const PlaceState& state, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACE_H_
