#ifndef VERBENALEAD_LINKS_POLL_SCHEDULE_H_
#define VERBENALEAD_LINKS_POLL_SCHEDULE_H_

#include "base/time.h"

namespace verbenalead::links {

/// How often a TableFollower polls the store at present. It is computed before
/// each request, since it depends on who else reads the table.
struct PollSchedule {
  /// How long the store may hold a request (long poll) until the table changes.
  Duration m_long_poll{};
  /// Least time between the starts of two requests; TableFollower::PollNow()
  /// cuts it short.
  Duration m_interval{};
  /// Least pause after a failed request. Zero means the short random default,
  /// for processes that have no other source of the rows.
  Duration m_retry_pause{};
  /// Send no request for now, for example because another process is likely to
  /// send the rows.
  bool m_paused = false;

  friend bool operator==(const PollSchedule&, const PollSchedule&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_POLL_SCHEDULE_H_
