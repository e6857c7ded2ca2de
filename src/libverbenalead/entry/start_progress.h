#ifndef VERBENALEAD_ENTRY_START_PROGRESS_H_
#define VERBENALEAD_ENTRY_START_PROGRESS_H_

#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::entry {

struct EntryState;

/// What an entry that has just started still waits for before it serves, so
/// that a slow return of many can be read from their metrics and from a few
/// log lines: `event=start_step step=replicas after_ms=812`.
struct StartProgress {
  TimePoint m_started{};
  /// Steps that are done: `others`, `configuration`, `replicas`, `lease`,
  /// `usable_replica` (of each service with engines).
  std::set<std::string> m_done;
};

/// Notes the steps that are done by `now`: a log line for each, and the gauges
/// `start_step_seconds{step}` and `start_waits{step}` (1: not done yet).
/// Returns whether all are done; nothing is left to note then.
bool NoteStart(EntryState& state, StartProgress& progress, TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_START_PROGRESS_H_
