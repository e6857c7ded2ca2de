#ifndef VERBENALEAD_DECIDE_PLACEMENT_FAKE_REPLICA_H_
#define VERBENALEAD_DECIDE_PLACEMENT_FAKE_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Speed of a simulated replica, after the published model of step times of an
/// engine with continuous batching.
struct FakeEngine {
  uint32_t m_slots = 16;
  Duration m_step = 8870us;
  /// Added to each step for every call in the batch.
  Duration m_step_per_call = 39us;
  uint32_t m_stride = 5;
  /// Prompt tokens read per second, between the tokens of other calls.
  double m_prefill_rate = 19100;
};

/// A call at a simulated replica.
struct FakeCall {
  uint64_t m_call = 0;
  uint32_t m_prompt_tokens = 0;
  uint32_t m_events_left = 0;
};

/// A simulated replica in virtual time. It works in passes: each pass reads the
/// prompts that have arrived since the last one, and writes one event of each
/// call.
struct FakeReplica {
  FakeEngine m_engine;
  std::deque<FakeCall> m_queued;
  std::vector<FakeCall> m_running;

  /// Begins a pass: admits queued calls while there are free slots. Returns the
  /// duration of the pass, or zero if there is nothing to do.
  Duration BeginPass() {
    Duration reading{};
    while (m_running.size() < m_engine.m_slots && !m_queued.empty()) {
      reading +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              m_queued.front().m_prompt_tokens / m_engine.m_prefill_rate));
      m_running.push_back(m_queued.front());
      m_queued.pop_front();
    }
    if (m_running.empty())
      return Duration();
    const auto calls = static_cast<int64_t>(m_running.size());
    return reading + m_engine.m_stride *
                         (m_engine.m_step + m_engine.m_step_per_call * calls);
  }

  /// Ends the pass: each running call has written one more event. Returns these
  /// calls. Calls that have no events left have ended.
  std::vector<FakeCall> EndPass() {
    for (FakeCall& run : m_running)
      --run.m_events_left;
    std::vector<FakeCall> advanced = m_running;
    std::erase_if(m_running,
                  [](const FakeCall& run) { return run.m_events_left == 0; });
    return advanced;
  }
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_FAKE_REPLICA_H_
