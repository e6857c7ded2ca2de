#ifndef VERBENALEAD_TARGET_PLATFORM_TARGET_H_
#define VERBENALEAD_TARGET_PLATFORM_TARGET_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::target {

/// The process beside a replica on the users' platform: fetches weights, passes
/// them on, and is the only one to give the replica orders.
class PlatformTarget {
 public:
  explicit PlatformTarget(const Settings& settings);
  ~PlatformTarget();

  /// Runs until the process is told to stop. Returns the exit code.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_PLATFORM_TARGET_H_
