#ifndef VERBENALEAD_DECIDE_STORE_CONFIG_LEASE_H_
#define VERBENALEAD_DECIDE_STORE_CONFIG_LEASE_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Limits how long an entry may admit calls with an API key on the
/// configuration that it has.
///
/// Failure: an entry that is cut off from the store, or was suspended, does not
/// learn that a key was removed. Symptom: calls run for a caller who lost the
/// right long ago.
///
/// A removal must be in force within a fixed bound. The lease is shorter than
/// this bound and starts at a moment at which the store itself confirmed that
/// the configuration was the newest. It is checked after a call has been read.
/// If a removal bars the call, it was acknowledged at least the whole bound
/// before the call was sent, so before the start of the lease, and the
/// configuration contains it. A pause of the process between the check and the
/// forwarding of the call is harmless, since the call was sent before the
/// pause.
struct ConfigLease {
  /// Time of the newest proof, on a clock that keeps counting while the host is
  /// suspended.
  std::optional<Duration> m_proved_at;
};

inline void RenewLease(ConfigLease& lease, Duration proved_at) {
  lease.m_proved_at =
      std::max(lease.m_proved_at.value_or(proved_at), proved_at);
}

inline bool IsLeaseValid(const ConfigLease& lease,
                         Duration length,
                         Duration now) {
  return lease.m_proved_at && now - *lease.m_proved_at < length;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_CONFIG_LEASE_H_
