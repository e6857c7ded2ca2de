#include "target/transfer_members.h"

namespace verbenalead::target {

std::vector<decide::TransferMember> OtherMembers(const TargetState& state) {
  const TargetOptions& options = state.m_options;
  std::vector<decide::TransferMember> members;
  for (const auto& [id, replica] : state.m_replicas) {
    if (replica.m_service != options.m_service || replica.m_leaving ||
        replica.m_endpoint == options.m_engine)
      continue;
    members.push_back({replica.m_endpoint.address(), replica.m_data_center,
                       replica.m_data_center});
  }
  return members;
}

}  // namespace verbenalead::target
