#ifndef VERBENALEAD_LINKS_REPLICA_CALLS_H_
#define VERBENALEAD_LINKS_REPLICA_CALLS_H_

#include <cstdint>

namespace verbenalead::links {

/// Calls in progress at one replica: those of one entry or, as a sum, of
/// several.
struct ReplicaCalls {
  uint32_t m_calls = 0;
  /// Prompt tokens of the calls whose answer hasn't begun, so whose prompt the
  /// replica may not have read yet.
  uint64_t m_unread_tokens = 0;

  friend bool operator==(const ReplicaCalls&, const ReplicaCalls&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REPLICA_CALLS_H_
