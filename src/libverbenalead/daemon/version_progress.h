#ifndef VERBENALEAD_DAEMON_VERSION_PROGRESS_H_
#define VERBENALEAD_DAEMON_VERSION_PROGRESS_H_

#include <string>

#include "base/digest.h"

namespace verbenalead::daemon {

/// What a target host has in force and on its way.
struct VersionProgress {
  std::string m_in_force;
  /// Empty if nothing is on its way.
  std::string m_loading;
  Digest m_loading_digest;
  /// fetching, waiting, loading, in force, failed, idle or deposed.
  std::string m_stage;
  /// Why it waits or failed.
  std::string m_reason;

  friend bool operator==(const VersionProgress&,
                         const VersionProgress&) = default;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_VERSION_PROGRESS_H_
