#ifndef VERBENALEAD_DECIDE_CONFIG_LEASE_H_
#define VERBENALEAD_DECIDE_CONFIG_LEASE_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// How long an entry may let calls with a key through on the configuration that
/// it has.
///
/// Failure: an entry that is cut off from the store, or was suspended, doesn't
/// hear that a key was taken away. Symptom: calls run for somebody who lost the
/// right long ago. The lease ends before the bound within which a removal must
/// be in force, counted from a moment at which the store itself said that the
/// configuration was the newest. It is asked after a call has been read: a
/// removal that bars the call was acknowledged the whole bound before the call
/// was sent, so before the lease's proof, and would be in the configuration.
/// However long the process stands still between the question and the send, the
/// call was sent before; so that is enough.
struct ConfigLease {
  /// Of a clock that counts suspension.
  std::optional<Duration> m_proved_at;
};

inline void Prove(ConfigLease& lease, Duration proved_at) {
  lease.m_proved_at =
      std::max(lease.m_proved_at.value_or(proved_at), proved_at);
}

inline bool Holds(const ConfigLease& lease, Duration length, Duration now) {
  return lease.m_proved_at && now - *lease.m_proved_at < length;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_LEASE_H_
