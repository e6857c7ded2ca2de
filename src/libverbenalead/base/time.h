#ifndef VERBENALEAD_BASE_TIME_H_
#define VERBENALEAD_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace verbenalead {

/// Monotonic time. Decision code receives a TimePoint as an argument and never
/// reads a clock, so that tests control the time.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Returns `duration` in whole milliseconds, truncated towards zero.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Returns the current monotonic time. Only I/O code may call this.
inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_TIME_H_
