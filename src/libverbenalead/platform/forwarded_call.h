#ifndef VERBENALEAD_PLATFORM_FORWARDED_CALL_H_
#define VERBENALEAD_PLATFORM_FORWARDED_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace verbenalead::platform {

/// What the entry adds to a caller's request for one replica.
struct ForwardedCall {
  std::string m_replica;
  /// How long the replica may take.
  Duration m_time_left{};
  /// Empty: the call has no organisation.
  std::string m_organisation;
  /// Only a replica with these weights may run it.
  std::optional<uint64_t> m_weights;
  /// Place in the replica's queue, 0 to 9; absent: as the replica likes.
  std::optional<int> m_queue_rank;
  /// Go on after this event; empty: as the caller asked.
  std::string m_last_event;

  friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_FORWARDED_CALL_H_
