#ifndef VERBENALEAD_ENTRY_STARTUP_PROGRESS_H_
#define VERBENALEAD_ENTRY_STARTUP_PROGRESS_H_

#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::entry {

struct EntryState;

/// Tracks which steps a newly started entry still has to complete before it
/// serves calls, so that the cause of a slow restart of many entries can be
/// seen in their metrics and in a few log lines: `event=start_step
/// step=replicas after_ms=812`, and `event=start_waits steps=replicas` for what
/// isn't completed after a few seconds.
struct StartupProgress {
  TimePoint m_started{};
  /// Completed steps: `others` (the number of entries in other data centres is
  /// known), `configuration`, `replicas`, `lease`, `usable_replica` (each
  /// service with engines has a replica that accepts calls).
  std::set<std::string> m_done;
  /// When the steps that are not completed are logged next.
  TimePoint m_next_wait_line{};
};

/// Records the steps completed by `now`: a log line for each, and the gauges
/// `start_step_seconds{step}` and `start_waits{step}` (1: not completed).
/// Returns whether all are completed; there is nothing left to record then.
bool RecordStartupSteps(EntryState& state,
                        StartupProgress& progress,
                        TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_STARTUP_PROGRESS_H_
