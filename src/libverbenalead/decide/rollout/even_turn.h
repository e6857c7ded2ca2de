#ifndef VERBENALEAD_DECIDE_ROLLOUT_EVEN_TURN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_EVEN_TURN_H_

#include <string>
#include <vector>

#include "decide/rollout/load_turn.h"

namespace verbenalead::decide {

/// The turn of `replica`, one of `replicas`, where versions are complete long
/// before their bound: turns begin at even intervals over the whole window, in
/// the order of the replicas' ids; evacuated data centres are not treated
/// differently. Where versions may be complete late, see TurnOf().
///
/// Load: all replicas of a service load a new version at peak load. Harm: if
/// all did so at once, callers would find no replica. Each host computes the
/// order from the same list, so that hosts need not coordinate and a host that
/// fails doesn't delay the others.
LoadTurn EvenTurnOf(const LoadWindow& window,
                    const std::string& replica,
                    const std::vector<TurnReplica>& replicas);

/// How long running calls may continue at a replica that stops taking calls in
/// order to load. `fullness` is the share of the slots that are in use.
///
/// Load: a rollout while streams of a second and more are running. Harm: an
/// interrupted stream is prefilled again at another replica, pauses meanwhile,
/// and is lost if that replica loads next or the retries are used up. If other
/// replicas have free slots, nearly all streams may finish. If the pool is
/// full, the replica itself is needed, and only half of its streams may finish.
Duration EvenDrainTime(double fullness);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_EVEN_TURN_H_
