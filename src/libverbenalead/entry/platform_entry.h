#ifndef VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_
#define VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::entry {

/// An entry process on the users' platform: serves callers' requests and the
/// directory that lists the entries which callers should use, and keeps the
/// state that both need in step with the store, other entries and target
/// processes.
class PlatformEntry {
 public:
  explicit PlatformEntry(const Settings& settings);
  ~PlatformEntry();

  /// Runs until the process receives a stop signal and its calls have ended or
  /// its time to stop has passed. Returns the exit code.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_
