#ifndef VERBENALEAD_DECIDE_FETCH_WINDOW_H_
#define VERBENALEAD_DECIDE_FETCH_WINDOW_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// How many chunks a host lets come in at once, learned from how long they
/// take.
///
/// Load: a transfer beside live calls, on a link that has become narrow without
/// anybody being told. Harm: chunks on their way there hold up whatever comes
/// behind them; calls reach the replica after their callers have left, and it
/// works for nobody.
struct FetchWindow {
  uint32_t m_most = 0;
  /// A wait for a chunk from which on the link is taken for narrow; zero: the
  /// window always is m_most.
  Duration m_slow{};
  uint32_t m_size = m_most;

  friend bool operator==(const FetchWindow&, const FetchWindow&) = default;
};

/// Part of the window that is left after a slow chunk.
constexpr uint32_t kWindowCut = 2;

/// A chunk came after `wait`. Grows by one and is cut in half, so that hosts
/// that share a link end up with equal parts of it. A chunk that doesn't come
/// tells nothing: hosts that are cut off would make the windows of all others
/// small.
inline void NoteArrival(FetchWindow& window, Duration wait) {
  if (window.m_slow == Duration())
    return;
  window.m_size = wait > window.m_slow
                      ? std::max(1U, window.m_size / kWindowCut)
                      : std::min(window.m_most, window.m_size + 1);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_FETCH_WINDOW_H_
