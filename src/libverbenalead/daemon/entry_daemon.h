#ifndef VERBENALEAD_DAEMON_ENTRY_DAEMON_H_
#define VERBENALEAD_DAEMON_ENTRY_DAEMON_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::daemon {

/// The process on an entry host: callers' and operators' HTTP, configuration,
/// admission, placement and retries.
class EntryDaemon {
 public:
  explicit EntryDaemon(const Settings& settings);
  ~EntryDaemon();

  /// Serves until SIGTERM or SIGINT and all running requests are done. Returns
  /// the exit code; a failure to listen is logged.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_DAEMON_H_
