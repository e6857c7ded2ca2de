#ifndef VERBENALEAD_DAEMON_GUARDED_GATE_H_
#define VERBENALEAD_DAEMON_GUARDED_GATE_H_

#include <mutex>

#include "decide/rollout/gate.h"

namespace verbenalead::daemon {

/// The state of the target's gate, which admits or refuses attempts, together
/// with the mutex that guards it. Thread-safe.
class GuardedGate {
 public:
  GuardedGate(uint64_t incarnation, uint32_t capacity)
      : m_incarnation(incarnation) {
    m_gate.m_incarnation = incarnation;
    m_gate.m_capacity = capacity;
  }

  /// Identifies this run of the target process. A restart changes it.
  uint64_t incarnation() const { return m_incarnation; }

  /// Calls `function` with the gate while the mutex is held.
  template <typename Function>
  auto With(Function&& function) {
    std::lock_guard lock(m_mutex);
    return function(m_gate);
  }

 private:
  const uint64_t m_incarnation;
  std::mutex m_mutex;
  decide::GateState m_gate;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_GUARDED_GATE_H_
