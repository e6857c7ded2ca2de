#include "decide/gate.h"

namespace verbenalead::decide {

const char* ToString(EnterResult result) {
  switch (result) {
    case EnterResult::kEntered:
      return "entered";
    case EnterResult::kClosed:
      return "gate_closed";
    case EnterResult::kFull:
      return "target_full";
    case EnterResult::kLeaving:
      return "target_leaving";
    case EnterResult::kWrongIncarnation:
      return "wrong_incarnation";
    case EnterResult::kWrongVersion:
      return "wrong_version";
    case EnterResult::kVoid:
      return "attempt_void";
    case EnterResult::kRepeated:
      return "attempt_repeated";
  }
  return "unknown";
}

EnterResult Enter(GateState& gate,
                  const Attempt& attempt,
                  uint64_t incarnation,
                  const Digest& wanted,
                  TimePoint now) {
  if (incarnation != gate.m_incarnation)
    return EnterResult::kWrongIncarnation;
  auto known = gate.m_attempts.find(attempt);
  if (known != gate.m_attempts.end()) {
    return known->second.m_state == GateState::Record::State::kVoid
               ? EnterResult::kVoid
               : EnterResult::kRepeated;
  }
  if (gate.m_leaving)
    return EnterResult::kLeaving;
  if (!gate.m_open)
    return EnterResult::kClosed;
  if (!wanted.empty() && wanted != gate.m_digest)
    return EnterResult::kWrongVersion;
  if (gate.m_running >= gate.m_capacity)
    return EnterResult::kFull;
  ++gate.m_running;
  gate.m_attempts[attempt] = {GateState::Record::State::kRunning, now};
  return EnterResult::kEntered;
}

void Leave(GateState& gate, const Attempt& attempt, TimePoint now) {
  auto known = gate.m_attempts.find(attempt);
  if (known == gate.m_attempts.end() ||
      known->second.m_state != GateState::Record::State::kRunning)
    return;
  known->second = {GateState::Record::State::kDone, now};
  --gate.m_running;
}

void Open(GateState& gate, const Digest& digest) {
  if (gate.m_digest != digest)
    ++gate.m_generation;
  gate.m_open = true;
  gate.m_digest = digest;
}

void Shut(GateState& gate) {
  gate.m_open = false;
}

void AskAgain(GateState& gate) {
  Shut(gate);
  ++gate.m_doubt;
}

void Doubt(GateState& gate) {
  AskAgain(gate);
  ++gate.m_generation;
}

bool MayPass(GateState& gate, uint64_t generation, const Digest& reported) {
  if (gate.m_generation != generation)
    return false;
  if (gate.m_digest == reported)
    return true;
  if (!reported.empty())
    Doubt(gate);
  return false;
}

VoidResult VoidAttempt(GateState& gate, const Attempt& attempt, TimePoint now) {
  auto [known, added] = gate.m_attempts.try_emplace(
      attempt, GateState::Record{GateState::Record::State::kVoid, now});
  return known->second.m_state == GateState::Record::State::kVoid
             ? VoidResult::kNeverStarted
             : VoidResult::kStarted;
}

void Forget(GateState& gate, TimePoint now) {
  std::erase_if(gate.m_attempts, [&](const auto& entry) {
    return entry.second.m_state != GateState::Record::State::kRunning &&
           now - entry.second.m_since > kRemember;
  });
}

}  // namespace verbenalead::decide
