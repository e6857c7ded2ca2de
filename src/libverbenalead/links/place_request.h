#ifndef VERBENALEAD_LINKS_PLACE_REQUEST_H_
#define VERBENALEAD_LINKS_PLACE_REQUEST_H_

#include <cstdint>
#include <string>

#include "links/replica_calls.h"

namespace verbenalead::links {

/// An entry asks a target process for a place at its replica.
struct PlaceRequest {
  std::string m_replica;
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// What the entry has at the replica, calls that only wait for an answer like
  /// this one left out. It goes with each request, so that a target that
  /// believes something else, after either of them started anew, is set right
  /// by the first one.
  ReplicaCalls m_calls;

  friend bool operator==(const PlaceRequest&, const PlaceRequest&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PLACE_REQUEST_H_
