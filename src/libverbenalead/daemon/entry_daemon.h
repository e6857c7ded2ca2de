#ifndef VERBENALEAD_DAEMON_ENTRY_DAEMON_H_
#define VERBENALEAD_DAEMON_ENTRY_DAEMON_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::daemon {

/// The daemon on an entry host. It serves the HTTP APIs of callers and
/// operators, follows the configuration, admits calls, selects targets for them
/// and retries failed attempts.
class EntryDaemon {
 public:
  explicit EntryDaemon(const Settings& settings);
  ~EntryDaemon();

  /// Serves until SIGTERM or SIGINT, then until running requests have ended or
  /// the setting stop.grace has passed. Returns the exit code; a failure to
  /// listen is logged.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_DAEMON_H_
