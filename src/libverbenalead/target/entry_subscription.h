#ifndef VERBENALEAD_TARGET_ENTRY_SUBSCRIPTION_H_
#define VERBENALEAD_TARGET_ENTRY_SUBSCRIPTION_H_

#include "base/time.h"
#include "links/replica_update.h"

namespace verbenalead::target {

/// An entry that uses the replica or subscribed to its state.
struct EntrySubscription {
  /// End of the subscription; each request of the entry extends it.
  TimePoint m_expires_at{};
  /// Calls of the entry at the replica, and when the entry reported them.
  links::ReplicaCalls m_calls;
  TimePoint m_calls_reported_at{};
  /// The entry was denied a slot after the last update to it, so calls may be
  /// waiting at the entry for a free slot.
  bool m_slot_denied = false;
  /// The last update sent to the entry.
  links::ReplicaUpdate m_last_update;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ENTRY_SUBSCRIPTION_H_
