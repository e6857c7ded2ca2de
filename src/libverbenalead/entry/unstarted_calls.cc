#include "entry/unstarted_calls.h"

#include <algorithm>
#include <vector>

#include "entry/entry_state.h"
#include "entry/rate_limits.h"

namespace verbenalead::entry {
namespace {

/// The replica may have loaded newer weights since the call was sent.
uint64_t WeightsOf(EntryState& state, const UnstartedCall& call) {
  const decide::ReplicaState* replica = FindReplica(state, call.m_replica);
  return replica ? std::max(call.m_weights, replica->m_weights)
                 : call.m_weights;
}

}  // namespace

TimePoint WeightsDeadline(const EntryState& state,
                          const std::string& model,
                          uint64_t weights) {
  const auto versions = state.m_weights.find(model);
  return model.empty() || versions == state.m_weights.end()
             ? TimePoint::max()
             : decide::ForbiddenFrom(versions->second, weights);
}

void StopBarredCalls(EntryState& state, TimePoint now) {
  std::vector<std::function<void()>> barred;
  for (const auto& [ticket, call] : state.m_unstarted_calls) {
    if (WeightsDeadline(state, call.m_model, WeightsOf(state, call)) <= now)
      barred.push_back(call.m_stop);
  }
  for (const auto& stop : barred)
    stop();
}

}  // namespace verbenalead::entry
