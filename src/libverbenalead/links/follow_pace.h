#ifndef VERBENALEAD_LINKS_FOLLOW_PACE_H_
#define VERBENALEAD_LINKS_FOLLOW_PACE_H_

#include "base/time.h"

namespace verbenalead::links {

/// How a table is followed just now.
struct FollowPace {
  /// How long the store may hold a question until something changes.
  Duration m_wait{};
  /// Least time between two questions, but for pokes.
  Duration m_interval{};
  /// Least pause after a question that failed. Zero: the usual short one, for
  /// those that nobody else tells.
  Duration m_after_failure{};
  /// Not now: somebody else is likely to bring the rows.
  bool m_hold = false;

  friend bool operator==(const FollowPace&, const FollowPace&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_FOLLOW_PACE_H_
