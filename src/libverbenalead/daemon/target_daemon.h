#ifndef VERBENALEAD_DAEMON_TARGET_DAEMON_H_
#define VERBENALEAD_DAEMON_TARGET_DAEMON_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::daemon {

/// The process on a target host. Holds model weights and serves them to other
/// hosts, orders the engine to load versions, and admits attempts to the engine
/// or plain service.
class TargetDaemon {
 public:
  explicit TargetDaemon(const Settings& settings);
  ~TargetDaemon();

  /// Serves until SIGTERM or SIGINT, then until all running requests have ended
  /// or the grace period is over. Returns the exit code. A failure to listen is
  /// logged.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_DAEMON_H_
