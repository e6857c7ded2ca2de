#ifndef VERBENALEAD_DECIDE_ROLLOUT_PERMIT_H_
#define VERBENALEAD_DECIDE_ROLLOUT_PERMIT_H_

#include <cstdint>
#include <string>

#include "base/digest.h"

namespace verbenalead::decide {

/// Permission for one serving host to shut its gate and load a version. The
/// permits of a pool limit how many of its hosts are unavailable at once.
struct LoadPermit {
  /// The version to load or, with m_failed, the version whose load failed.
  Digest m_digest;
  /// Revision of the pool's spec for which the permit was acquired.
  uint64_t m_plan = 0;
  /// Incarnation of the process that acquired the permit.
  uint64_t m_owner = 0;
  /// Increases with each renewal.
  uint64_t m_number = 0;
  /// The load failed. Stops the rollout until the host has recovered or the
  /// pool's spec has a new revision.
  bool m_failed = false;
  /// With m_failed: why the load failed.
  std::string m_reason;

  friend bool operator==(const LoadPermit&, const LoadPermit&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_PERMIT_H_
