#ifndef VERBENALEAD_TARGET_TRANSFER_MEMBERS_H_
#define VERBENALEAD_TARGET_TRANSFER_MEMBERS_H_

#include <vector>

#include "decide/transfer/transfer_member.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// The other hosts of the service, with which this host exchanges weights.
/// Hosts whose replica is leaving are not included.
std::vector<decide::TransferMember> OtherMembers(const TargetState& state);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TRANSFER_MEMBERS_H_
