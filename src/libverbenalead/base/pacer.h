#ifndef VERBENALEAD_BASE_PACER_H_
#define VERBENALEAD_BASE_PACER_H_

#include <mutex>

#include "base/awaitable.h"
#include "base/time.h"

namespace verbenalead {

/// Spreads bytes over time so that they don't exceed a rate. May be used from
/// several threads.
class Pacer {
 public:
  /// `bytes_per_second` of 0: no limit. `credit`: how much time that wasn't
  /// used may be made up for; timers that fire late would lower the rate
  /// otherwise.
  explicit Pacer(uint64_t bytes_per_second, Duration credit = {})
      : m_rate(bytes_per_second), m_credit(credit) {}

  /// Waits until `bytes` more fit. First come, first served.
  Awaitable<void> Take(uint64_t bytes);

 private:
  const uint64_t m_rate;
  const Duration m_credit;
  std::mutex m_mutex;
  /// When all that was taken so far has gone through.
  TimePoint m_free_at{};
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_PACER_H_
