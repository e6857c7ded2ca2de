#include "decide/admit.h"

namespace verbenalead::decide {
namespace {

AdmitAction Refuse(const model::Call& call, std::string reason) {
  return {AdmitAction::Kind::kRefuse, call.id(), std::move(reason),
          kRetryAfterFull};
}

/// Starts what fits; refuses at once what waited past its deadline.
std::vector<AdmitAction> Pump(AdmitState& state, TimePoint now) {
  std::vector<AdmitAction> actions;
  std::erase_if(state.m_waiting, [&](const model::Call& call) {
    if (call.deadline() > now)
      return false;
    actions.push_back(Refuse(call, "deadline_passed_waiting"));
    return true;
  });
  while (state.m_running < state.m_capacity && !state.m_waiting.empty()) {
    actions.push_back(
        {AdmitAction::Kind::kStart, state.m_waiting.front().id(), "", {}});
    state.m_waiting.pop_front();
    ++state.m_running;
  }
  return actions;
}

}  // namespace

std::vector<AdmitAction> Arrive(AdmitState& state,
                                const model::Call& call,
                                TimePoint now) {
  if (state.m_capacity == 0)
    return {Refuse(call, "no_usable_target")};
  if (state.m_waiting.size() >= size_t{kQueuePerSlot} * state.m_capacity)
    return {Refuse(call, "queue_full")};
  state.m_waiting.push_back(call);
  return Pump(state, now);
}

std::vector<AdmitAction> Finish(AdmitState& state, TimePoint now) {
  if (state.m_running > 0)
    --state.m_running;
  return Pump(state, now);
}

std::vector<AdmitAction> Tick(AdmitState& state,
                              uint32_t capacity,
                              TimePoint now) {
  state.m_capacity = capacity;
  return Pump(state, now);
}

void Abandon(AdmitState& state, const std::string& call) {
  std::erase_if(state.m_waiting, [&](const model::Call& waiting) {
    return waiting.id() == call;
  });
}

}  // namespace verbenalead::decide
