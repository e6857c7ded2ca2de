#ifndef VERBENALEAD_DECIDE_TRANSFER_FETCH_WINDOW_H_
#define VERBENALEAD_DECIDE_TRANSFER_FETCH_WINDOW_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Number of chunks that a host may fetch from other hosts at once, adapted to
/// how long the chunks take (additive increase, multiplicative decrease).
///
/// Load: a transfer beside live calls, on a link whose bandwidth has dropped
/// without notice. Harm: chunks queued on that link delay all traffic behind
/// them; calls reach the replica after their callers have disconnected, and its
/// work on them is wasted.
struct FetchWindow {
  uint32_t m_max_size = 0;
  /// A longer wait for a chunk means that the link is congested; zero: the
  /// window always is m_max_size.
  Duration m_slow_threshold{};
  uint32_t m_size = m_max_size;

  friend bool operator==(const FetchWindow&, const FetchWindow&) = default;
};

/// Divisor applied to the window after a slow chunk.
constexpr uint32_t kWindowDivisor = 2;

/// Adapts the window to a chunk that arrived after `wait`. Adding one and
/// halving lets hosts that share a link converge to equal shares of it. Chunks
/// that do not arrive are not counted: hosts that are unreachable would shrink
/// the windows of all others.
inline void RecordArrival(FetchWindow& window, Duration wait) {
  if (window.m_slow_threshold == Duration())
    return;
  window.m_size = wait > window.m_slow_threshold
                      ? std::max(1U, window.m_size / kWindowDivisor)
                      : std::min(window.m_max_size, window.m_size + 1);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_FETCH_WINDOW_H_
