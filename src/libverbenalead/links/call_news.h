#ifndef VERBENALEAD_LINKS_CALL_NEWS_H_
#define VERBENALEAD_LINKS_CALL_NEWS_H_

#include <string>

#include "links/replica_calls.h"

namespace verbenalead::links {

/// What an entry tells a target process: the calls that it has at the replica
/// on that host. The target adds up what all entries tell and tells each of
/// them the others' sum, so that the messages grow with the calls and the
/// replicas, not with the square of the entries.
struct CallNews {
  std::string m_replica;
  ReplicaCalls m_calls;

  friend bool operator==(const CallNews&, const CallNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_CALL_NEWS_H_
