#ifndef VERBENALEAD_LINKS_SLOT_ANSWER_H_
#define VERBENALEAD_LINKS_SLOT_ANSWER_H_

#include <cstdint>
#include <optional>

#include "links/replica_update.h"

namespace verbenalead::links {

/// Answer of a target process to a SlotRequestMessage. It is sent at once; for
/// a queued call, a second one follows when the call gets its slot.
struct SlotAnswer {
  uint64_t m_ticket = 0;
  bool m_granted = false;
  /// The call has been queued at the target process and waits for a slot.
  bool m_queued = false;
  /// State of the replica, without the slot granted by this answer.
  ReplicaUpdate m_update;
  /// Denied only: time until the calls ahead of this one would have got a slot;
  /// absent if unknown.
  std::optional<Duration> m_expected_wait;

  friend bool operator==(const SlotAnswer&, const SlotAnswer&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SLOT_ANSWER_H_
