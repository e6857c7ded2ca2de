#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_PLAN_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_PLAN_H_

#include <random>
#include <string>
#include <vector>

#include "decide/transfer/transfer_state.h"

namespace verbenalead::decide {

Distance DistanceBetween(const TransferMember& a, const TransferMember& b);

/// Computes the ranks of each chunk from the members.
void RankChunks(TransferState& state);

/// Hosts that this one should follow. The same rule holds on all hosts, so that
/// each host is followed by about as many as it follows, and no upload link is
/// idle for lack of followers. With random choices some hosts had half of the
/// mean number of followers.
std::vector<TransferMember> PlanNeighbours(const TransferState& state);

/// A random member at `distance` that is not followed yet and is not named
/// `except`; null if there is none.
const TransferMember* RandomUnfollowedMember(const TransferState& state,
                                             Distance distance,
                                             const std::string& except,
                                             std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_PLAN_H_
