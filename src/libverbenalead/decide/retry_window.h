#ifndef VERBENALEAD_DECIDE_RETRY_WINDOW_H_
#define VERBENALEAD_DECIDE_RETRY_WINDOW_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// What all entries together may repeat at one service within a window.
struct RetryAllowance {
  /// Repeats for each call.
  double m_ratio = 0.2;
  /// Repeats beyond that.
  double m_slack = 100;
  Duration m_window = 10s;

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;
};

/// One entry's calls and repeats at one service, in parts of a window.
///
/// Made for the failure of many replicas at once: each entry repeats what it
/// lost, and together they press the rest with several times the usual load.
/// The slack is split evenly between the entries that may exist, and the ratio
/// counts the entry's own calls, so that the sum keeps to the allowance without
/// a word between them.
struct RetryWindow {
  static constexpr size_t kParts = 10;
  struct Part {
    int64_t m_number = -1;
    uint32_t m_calls = 0;
    uint32_t m_repeats = 0;
  };
  /// One part more than a window, so that a repeat leaves the count only after
  /// a whole window.
  std::array<Part, kParts + 1> m_parts{};
};

void CountCall(RetryWindow& window,
               const RetryAllowance& allowance,
               TimePoint now);
/// Whether one more repeat may be sent; takes it. `entries`: how many entries
/// may exist at most.
bool TakeRepeat(RetryWindow& window,
                const RetryAllowance& allowance,
                uint32_t entries,
                TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RETRY_WINDOW_H_
