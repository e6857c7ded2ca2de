#ifndef VERBENALEAD_DECIDE_ROLLOUT_LOAD_TURN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_LOAD_TURN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// A replica that has to load a version of the weights.
struct TurnReplica {
  std::string m_id;
  std::string m_data_center;
  /// Its data centre is evacuated, so it gets no calls.
  bool m_evacuated = false;

  friend bool operator==(const TurnReplica&, const TurnReplica&) = default;
};

/// The time in which the replicas of a service load a version.
struct LoadWindow {
  /// When the version is complete.
  TimePoint m_begin{};
  /// From then on, replicas with older weights get no calls.
  TimePoint m_end{};
  /// Deadline for new weights, by which the last replica should be back. Not
  /// before `m_end`, from which on entries send no calls to older weights.
  TimePoint m_bound{};
  /// Time from the end of the drain until the replica gets calls again.
  Duration m_load{};
  /// Share of the slots that were occupied before the first replica stopped
  /// taking calls, 0 to 1. Replicas that are out raise the present share, and
  /// drains that follow it would be too short for the rest.
  double m_fullness = 0;

  friend bool operator==(const LoadWindow&, const LoadWindow&) = default;
};

/// What the time of a turn follows from.
enum class TurnReason {
  kSpread,      ///< The turns are spread over the window.
  kEven,        ///< Even intervals, as versions are complete early.
  kHalf,        ///< The window is short: one half follows the other.
  kWindowPast,  ///< The window is over: the replica gets no calls any more.
  kEvacuated,   ///< The replica's data centre gets no calls.
  kUnlisted,    ///< The replica isn't in the list, so it has no rank.
};

const char* ToString(TurnReason reason);

/// When a replica stops taking calls, and how long running calls may continue.
struct LoadTurn {
  TimePoint m_at{};
  Duration m_drain{};
  /// Position among the `m_count` replicas that take turns, from 0 on.
  size_t m_rank = 0;
  size_t m_count = 0;
  TurnReason m_reason = TurnReason::kSpread;

  friend bool operator==(const LoadTurn&, const LoadTurn&) = default;
};

/// The turn of `replica`, one of `replicas`.
///
/// Load: all replicas of a busy service load new weights, which are complete
/// shortly before the bound. Harm: if all stop taking calls at the same time,
/// callers find no replica until the loads end. Each host computes the same
/// order from the same list, in which data centres alternate, so that hosts
/// need not coordinate and a host that fails doesn't delay the others. The
/// turns begin at even intervals, the last one so that its replica is back by
/// the bound. If more than half of the replicas would then be out at the same
/// time, one half loads at once and the other when the first one is back, or at
/// the end of the window if that is earlier. A replica that gets no calls loads
/// at once. A turn that has passed is due at once.
LoadTurn TurnOf(const LoadWindow& window,
                const std::string& replica,
                const std::vector<TurnReplica>& replicas,
                TimePoint now);

/// How long running calls may continue at a replica that stops taking calls in
/// order to load.
///
/// Load: a rollout while streams of about a second are running. Harm: an
/// interrupted stream is prefilled again at another replica, pauses meanwhile,
/// and is lost if no other replica has a free slot. A long drain leaves slots
/// idle, and in a short window it takes many replicas out of service at the
/// same time. So the drain is at most as long as most streams last, shorter if
/// the pool is nearly full, and so short that no more replicas are out than the
/// pool can spare.
Duration DrainTime(const LoadWindow& window);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_LOAD_TURN_H_
