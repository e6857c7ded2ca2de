#ifndef VERBENALEAD_BASE_TIME_H_
#define VERBENALEAD_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace verbenalead {

/// Monotonic time. Decision cores are handed a TimePoint and never read a
/// clock, so that a test decides what time it is.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Whole milliseconds in `duration`, rounded down.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Monotonic now. Only I/O code calls this.
inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_TIME_H_
