#ifndef VERBENALEAD_LINKS_REPLICA_NEWS_H_
#define VERBENALEAD_LINKS_REPLICA_NEWS_H_

#include <cstdint>
#include <string>

#include "links/replica_calls.h"

namespace verbenalead::links {

/// What a target process tells one entry about the replica on its host.
struct ReplicaNews {
  std::string m_replica;
  std::string m_service;
  /// Version of the weights that it has loaded; 0: none.
  uint64_t m_version = 0;
  /// It is about to load weights: calls that take long had better go elsewhere.
  bool m_closing = false;
  /// It takes no calls, for its turn to load has come or it loads weights.
  bool m_loading = false;
  /// What all other entries have there.
  ReplicaCalls m_elsewhere;
  /// Calls that wait there for a place.
  uint32_t m_waiting = 0;

  friend bool operator==(const ReplicaNews&, const ReplicaNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REPLICA_NEWS_H_
