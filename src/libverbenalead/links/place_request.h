#ifndef VERBENALEAD_LINKS_PLACE_REQUEST_H_
#define VERBENALEAD_LINKS_PLACE_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "links/replica_calls.h"

namespace verbenalead::links {

/// An entry asks a target process for a place at its replica.
struct PlaceRequest {
  std::string m_replica;
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// It can still be on time, if its prompt and all before it are read within
  /// `m_read_within`.
  bool m_fresh = true;
  Duration m_read_within{};
  /// How long it waits for a place, if none is free; zero: not at all.
  Duration m_wait{};
  /// What the entry has at the replica, calls that only wait for an answer like
  /// this one left out. It goes with each request, so that a target that
  /// believes something else, after either of them started anew, is set right
  /// by the first one.
  ReplicaCalls m_calls;

  friend bool operator==(const PlaceRequest&, const PlaceRequest&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PLACE_REQUEST_H_
