#ifndef VERBENALEAD_DAEMON_TARGET_DAEMON_H_
#define VERBENALEAD_DAEMON_TARGET_DAEMON_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::daemon {

/// The process on a target host: holds and passes on weights, gives orders to
/// the engine, and stands as gate before the engine or plain service.
class TargetDaemon {
 public:
  explicit TargetDaemon(const Settings& settings);
  ~TargetDaemon();

  /// Serves until SIGTERM or SIGINT and all running requests are done. Returns
  /// the exit code; a failure to listen is logged.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_DAEMON_H_
