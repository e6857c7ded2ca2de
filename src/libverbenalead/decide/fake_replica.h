#ifndef VERBENALEAD_DECIDE_FAKE_REPLICA_H_
#define VERBENALEAD_DECIDE_FAKE_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// How fast a fake replica is, by the published step model of an engine that
/// batches continuously.
struct FakeEngine {
  uint32_t m_slots = 16;
  Duration m_step = 8870us;
  /// For each call that writes.
  Duration m_step_for_call = 39us;
  uint32_t m_stride = 5;
  /// Prompt tokens read in a second, between the tokens of others.
  double m_prefill_rate = 19100;
};

/// A call at a fake replica.
struct FakeRun {
  uint64_t m_call = 0;
  uint32_t m_prompt_tokens = 0;
  uint32_t m_events_left = 0;
};

/// A replica in virtual time: it works in passes, in each of which it reads the
/// prompts that have come since and writes one event of each call.
struct FakeReplica {
  FakeEngine m_engine;
  std::deque<FakeRun> m_queued;
  std::vector<FakeRun> m_running;

  /// Begins a pass: admits what has room. Returns how long the pass takes; zero
  /// if there is nothing to do.
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
                         (m_engine.m_step + m_engine.m_step_for_call * calls);
  }

  /// Ends it: each call has one event more. Returns the calls in question,
  /// those without events left have ended.
  std::vector<FakeRun> EndPass() {
    for (FakeRun& run : m_running)
      --run.m_events_left;
    std::vector<FakeRun> told = m_running;
    std::erase_if(m_running,
                  [](const FakeRun& run) { return run.m_events_left == 0; });
    return told;
  }
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_FAKE_REPLICA_H_
