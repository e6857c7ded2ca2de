#ifndef VERBENALEAD_DECIDE_PLACEMENT_TARGET_SELECTION_H_
#define VERBENALEAD_DECIDE_PLACEMENT_TARGET_SELECTION_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decide/admission/service_time.h"
#include "decide/placement/placement.h"
#include "decide/placement/prefix_index.h"
#include "decide/placement/target_view.h"
#include "model/call.h"
#include "model/target_report.h"

namespace verbenalead::decide {

using Random = std::minstd_rand;

/// The targets of one pool, as this entry sees them, for the choice of the
/// target of each attempt.
///
/// Load: several entries choose among the same targets without coordination,
/// from reports that lag.
/// Harm: entries that trust the same old reports would all send to the same
/// target. The attempts of this entry therefore count in full and those of
/// others are discounted by the age of the report. A prompt prefix is mapped to
/// targets by hash, the same way at every entry, so that its calls share a
/// cache.
struct TargetSelectionState {
  std::vector<TargetView> m_targets;
  std::unordered_map<std::string, size_t> m_index;
  /// Mean time per unit of work over all targets of the pool.
  ServiceTime m_service;
  /// Decayed mean duration of a call, in seconds.
  double m_mean_seconds = 0;
  /// Decayed mean work of a call, in units.
  double m_mean_units = 0;
  PrefixIndex m_prefixes;
  TimePoint m_work_halved_at{};
};

/// A target whose last report is older than this is not used. When a connection
/// goes silent, the next report may be late by 1.5 s for the long poll, 2 s
/// until the silence is detected and up to 1.25 s until the next answer; a
/// shorter limit would take every target behind one dead connection out of use.
/// A host that fails meanwhile is detected sooner by the attempts that fail
/// there.
constexpr Duration kMaxReportAge = 6s;
/// Decay time of a reported count of other entries' attempts, used until the
/// duration of a call has been measured. From then on the mean duration of a
/// call is used, as the count changes about as fast as calls end.
constexpr Duration kDefaultLoadDecayTime = 200ms;
/// Time for which a target that reported itself full is not used. It has a free
/// slot when one of its calls ends; an earlier attempt would be refused, which
/// costs a round trip and delays the call.
constexpr Duration kFullTargetPause = 20ms;
/// A target is chosen for a prefix only while its recent work from this entry
/// is below this multiple of the mean over the targets. If each entry keeps to
/// the bound, so does their sum; the limit required of the whole pool is 1.25.
constexpr double kMaxWorkOverMean = 1.15;
/// A target is chosen for a prefix only while it runs fewer of this entry's
/// attempts than the mean plus this number, so that a prefix that many callers
/// send at once spreads to a second target.
constexpr double kMaxOwnAttemptsOverMean = 4;
/// Interval at which the counts of recent work are halved.
constexpr Duration kWorkHalvingInterval = std::chrono::seconds(5);

/// A call waits for a lightly loaded target for at most this fraction of its
/// own expected duration, and then accepts any target with a free slot. The
/// added latency is thus the same fraction for short and long calls.
constexpr double kMaxWaitShare = 0.5;
/// A call with more than this many times the mean work counts as long.
constexpr double kLongCallFactor = 2;
/// A long call is sent only to a target that runs this many fewer calls than
/// the average. If a long call takes the last free slot, each short call behind
/// it waits for many times its own duration, whereas waiting adds little to the
/// latency of the long call.
constexpr uint32_t kLongCallMargin = 3;

/// Applies a report of a target. A report of an older incarnation than the
/// known one is ignored, and `m_leaving` is never reset within an incarnation.
void ApplyReport(TargetSelectionState& state,
                 const model::TargetReport& report,
                 TimePoint now);
void RemoveTarget(TargetSelectionState& state, const std::string& name);

/// Chooses the target for `call`; nullopt if none can accept it now. Targets in
/// `tried` are excluded. `waited` is the time since the first choice for this
/// call.
std::optional<Placement> ChooseTarget(const TargetSelectionState& state,
                                      const model::Call& call,
                                      const std::set<std::string>& tried,
                                      Duration waited,
                                      TimePoint now,
                                      Random& random);

/// What the end of an attempt shows about the state of its target.
enum class TargetFeedback {
  kGood,             ///< The target answered.
  kFull,             ///< The target had no free slot.
  kAboveMaxRunning,  ///< The target ran more than Placement::m_max_running
                     ///< calls.
  kRefused,  ///< The target refused the call at once for another reason.
  kFailed,   ///< The target ran the call, which failed.
  kBroken,   ///< The connection or the answer broke off.
};

/// Records that an attempt has been sent to `target`, or has ended there after
/// `elapsed`.
void AttemptSent(TargetSelectionState& state,
                 const std::string& target,
                 const model::Call& call,
                 TimePoint now);
void AttemptEnded(TargetSelectionState& state,
                  const std::string& target,
                  const model::Call& call,
                  TargetFeedback feedback,
                  Duration elapsed,
                  TimePoint now);

/// Records the number of attempts that run at `target`, as given in an answer
/// or a refusal of the target. The number is newer than that of any report.
void LoadObserved(TargetSelectionState& state,
                  const std::string& target,
                  uint32_t running,
                  TimePoint now);

/// Records a cache event of an engine: `prefix` was cached or evicted at
/// `when`. The event may arrive late.
void PrefixCached(TargetSelectionState& state,
                  const std::string& target,
                  uint64_t prefix,
                  TimePoint when);
void PrefixEvicted(TargetSelectionState& state,
                   const std::string& target,
                   uint64_t prefix,
                   TimePoint when);

/// Number of attempts that the usable targets can run at once.
uint32_t UsableCapacity(const TargetSelectionState& state, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_TARGET_SELECTION_H_
