#ifndef VERBENALEAD_BASE_PACER_H_
#define VERBENALEAD_BASE_PACER_H_

#include <mutex>

#include "base/awaitable.h"
#include "base/time.h"

namespace verbenalead {

/// Limits a byte stream to a rate by delaying its senders. Thread-safe.
class Pacer {
 public:
  /// A `bytes_per_second` of 0 means no limit. `credit` is the longest unused
  /// time that later bytes may make up for. Without it, timers that fire late
  /// would lower the achieved rate.
  explicit Pacer(uint64_t bytes_per_second, Duration credit = {})
      : m_rate(bytes_per_second), m_credit(credit) {}

  /// Suspends the caller until `bytes` more may be sent within the rate. Calls
  /// are served in order of arrival.
  Awaitable<void> Acquire(uint64_t bytes);

 private:
  const uint64_t m_rate;
  const Duration m_credit;
  std::mutex m_mutex;
  /// Time at which all bytes reserved so far will have been sent at the
  /// configured rate.
  TimePoint m_free_at{};
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_PACER_H_
