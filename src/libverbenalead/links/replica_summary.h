#ifndef VERBENALEAD_LINKS_REPLICA_SUMMARY_H_
#define VERBENALEAD_LINKS_REPLICA_SUMMARY_H_

#include <cstdint>
#include <string>

#include "links/replica_calls.h"

namespace verbenalead::links {

/// State of one replica in the summary of its data centre.
struct ReplicaSummary {
  std::string m_replica;
  /// Version of the weights that the replica has loaded; 0: none.
  uint64_t m_version = 0;
  /// `m_closing` and `m_loading` are as in ReplicaUpdate.
  bool m_closing = false;
  bool m_loading = false;
  /// Calls of all entries at the replica.
  ReplicaCalls m_calls;
  /// Calls queued at the target process for a slot.
  uint32_t m_queued_calls = 0;
  /// Start of the incarnation that this is about, in Unix milliseconds; 0 if it
  /// isn't known.
  uint64_t m_started_ms = 0;

  friend bool operator==(const ReplicaSummary&,
                         const ReplicaSummary&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REPLICA_SUMMARY_H_
