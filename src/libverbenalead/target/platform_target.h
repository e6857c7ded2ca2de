#ifndef VERBENALEAD_TARGET_PLATFORM_TARGET_H_
#define VERBENALEAD_TARGET_PLATFORM_TARGET_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::target {

/// The target process on the users' platform, which runs on the host of a
/// replica. It fetches weights, serves them to other hosts, and is the only
/// process that orders the replica to load weights.
class PlatformTarget {
 public:
  explicit PlatformTarget(const Settings& settings);
  ~PlatformTarget();

  /// Runs until the process receives a signal to stop. Returns the exit code.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_PLATFORM_TARGET_H_
