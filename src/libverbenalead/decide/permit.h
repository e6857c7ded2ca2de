#ifndef VERBENALEAD_DECIDE_PERMIT_H_
#define VERBENALEAD_DECIDE_PERMIT_H_

#include <cstdint>
#include <string>

#include "base/digest.h"

namespace verbenalead::decide {

/// The right of one serving host to shut its gate and load.
struct Permit {
  Digest m_digest;
  /// Revision of the pool's spec under which it was taken.
  uint64_t m_plan = 0;
  /// Incarnation of the process that took it.
  uint64_t m_owner = 0;
  /// Rises with each renewal.
  uint64_t m_number = 0;
  /// The load failed. Stops the rollout until the host has recovered or the
  /// pool is declared anew.
  bool m_failed = false;
  std::string m_reason;

  friend bool operator==(const Permit&, const Permit&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PERMIT_H_
