#ifndef VERBENALEAD_PLATFORM_FORWARDED_CALL_H_
#define VERBENALEAD_PLATFORM_FORWARDED_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace verbenalead::platform {

/// What an entry adds to a caller's request when it forwards it to a replica.
struct ForwardedCall {
  std::string m_replica;
  /// Time that the replica has to answer.
  Duration m_time_left{};
  /// Empty if the call has no organisation.
  std::string m_organisation;
  /// Only a replica with these weights may run it.
  std::optional<uint64_t> m_weights;
  /// Rank in the replica's queue, 0 (first) to 9; absent: the replica's
  /// default.
  std::optional<int> m_queue_rank;
  /// Resume the stream after this event; empty: as in the caller's request.
  std::string m_last_event;

  friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_FORWARDED_CALL_H_
