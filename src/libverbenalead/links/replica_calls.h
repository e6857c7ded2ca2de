#ifndef VERBENALEAD_LINKS_REPLICA_CALLS_H_
#define VERBENALEAD_LINKS_REPLICA_CALLS_H_

#include <cstdint>

namespace verbenalead::links {

/// What one entry has at one replica.
struct ReplicaCalls {
  uint32_t m_calls = 0;
  /// Prompt tokens of the calls that haven't begun to answer.
  uint64_t m_unread = 0;

  friend bool operator==(const ReplicaCalls&, const ReplicaCalls&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REPLICA_CALLS_H_
