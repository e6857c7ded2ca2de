#ifndef VERBENALEAD_DECIDE_TRANSFER_PLAN_H_
#define VERBENALEAD_DECIDE_TRANSFER_PLAN_H_

#include <random>
#include <string>
#include <vector>

#include "decide/transfer_state.h"

namespace verbenalead::decide {

Distance DistanceBetween(const TransferMember& a, const TransferMember& b);

/// Sets each chunk's ranks from the members.
void RankChunks(TransferState& state);

/// Hosts that this one should follow, by the same rule everywhere: each is
/// followed by about as many as it follows, so that no upload link is idle for
/// lack of followers (random choices left some with half of the mean).
std::vector<TransferMember> PlanNeighbours(const TransferState& state);

/// A random member that isn't followed yet, as near as `distance` if there is
/// one; null if none is left.
const TransferMember* SpareNeighbour(const TransferState& state,
                                     Distance distance,
                                     const std::string& except,
                                     std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_PLAN_H_
