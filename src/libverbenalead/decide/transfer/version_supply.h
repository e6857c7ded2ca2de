#ifndef VERBENALEAD_DECIDE_TRANSFER_VERSION_SUPPLY_H_
#define VERBENALEAD_DECIDE_TRANSFER_VERSION_SUPPLY_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// What the hosts know of a declared version that no replica has loaded.
struct VersionSupply {
  /// From this time on, replicas with an older version take no calls.
  TimePoint m_binding_at{};
  /// Chunks that no host has, so that the origin has to send them.
  uint32_t m_missing = 0;
  bool m_has_digests = false;
  /// This host or another one has given the version up.
  bool m_given_up = false;

  friend bool operator==(const VersionSupply&, const VersionSupply&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_VERSION_SUPPLY_H_
