#include "decide/rollout/gate.h"

namespace verbenalead::decide {

const char* ToString(AdmitResult result) {
  switch (result) {
    case AdmitResult::kAdmitted:
      return "entered";
    case AdmitResult::kClosed:
      return "gate_closed";
    case AdmitResult::kFull:
      return "target_full";
    case AdmitResult::kLeaving:
      return "target_leaving";
    case AdmitResult::kWrongIncarnation:
      return "wrong_incarnation";
    case AdmitResult::kWrongVersion:
      return "wrong_version";
    case AdmitResult::kVoid:
      return "attempt_void";
    case AdmitResult::kDuplicate:
      return "attempt_repeated";
  }
  return "unknown";
}

AdmitResult Admit(GateState& gate,
                  const Attempt& attempt,
                  uint64_t incarnation,
                  const Digest& wanted,
                  TimePoint now) {
  if (incarnation != gate.m_incarnation)
    return AdmitResult::kWrongIncarnation;
  auto known = gate.m_attempts.find(attempt);
  if (known != gate.m_attempts.end()) {
    return known->second.m_state == GateState::Record::State::kVoid
               ? AdmitResult::kVoid
               : AdmitResult::kDuplicate;
  }
  if (gate.m_leaving)
    return AdmitResult::kLeaving;
  if (!gate.m_open)
    return AdmitResult::kClosed;
  if (!wanted.empty() && wanted != gate.m_digest)
    return AdmitResult::kWrongVersion;
  if (gate.m_running >= gate.m_capacity)
    return AdmitResult::kFull;
  ++gate.m_running;
  gate.m_attempts[attempt] = {GateState::Record::State::kRunning, now};
  return AdmitResult::kAdmitted;
}

void EndAttempt(GateState& gate, const Attempt& attempt, TimePoint now) {
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

void RequireStatus(GateState& gate) {
  Shut(gate);
  ++gate.m_status_epoch;
}

void InvalidateVersion(GateState& gate) {
  RequireStatus(gate);
  ++gate.m_generation;
}

bool MayForward(GateState& gate, uint64_t generation, const Digest& reported) {
  if (gate.m_generation != generation)
    return false;
  if (gate.m_digest == reported)
    return true;
  if (!reported.empty())
    InvalidateVersion(gate);
  return false;
}

VoidResult VoidAttempt(GateState& gate, const Attempt& attempt, TimePoint now) {
  auto [known, added] = gate.m_attempts.try_emplace(
      attempt, GateState::Record{GateState::Record::State::kVoid, now});
  return known->second.m_state == GateState::Record::State::kVoid
             ? VoidResult::kNeverStarted
             : VoidResult::kStarted;
}

void EraseOldAttempts(GateState& gate, TimePoint now) {
  std::erase_if(gate.m_attempts, [&](const auto& entry) {
    return entry.second.m_state != GateState::Record::State::kRunning &&
           now - entry.second.m_since > kAttemptRetention;
  });
}

}  // namespace verbenalead::decide
