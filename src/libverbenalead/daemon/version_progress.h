#ifndef VERBENALEAD_DAEMON_VERSION_PROGRESS_H_
#define VERBENALEAD_DAEMON_VERSION_PROGRESS_H_

#include <string>

#include "base/digest.h"

namespace verbenalead::daemon {

/// The active version of a target host and the progress of a rollout on it.
struct VersionProgress {
  std::string m_active_version;
  /// Name of the version being fetched or loaded; empty if there is none.
  std::string m_loading_version;
  Digest m_loading_digest;
  /// fetching, waiting, loading, in force, failed, idle or deposed.
  std::string m_stage;
  /// Why the rollout waits or failed.
  std::string m_reason;

  friend bool operator==(const VersionProgress&,
                         const VersionProgress&) = default;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_VERSION_PROGRESS_H_
