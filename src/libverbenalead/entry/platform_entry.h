#ifndef VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_
#define VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_

#include <memory>

#include "base/settings.h"

namespace verbenalead::entry {

/// An entry on the users' platform: callers' requests, the directory that tells
/// callers which entries to use, and what these need to know.
class PlatformEntry {
 public:
  explicit PlatformEntry(const Settings& settings);
  ~PlatformEntry();

  /// Runs until the process is told to stop and its calls have ended. Returns
  /// the exit code.
  int Run();

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLATFORM_ENTRY_H_
