#ifndef VERBENALEAD_LINKS_PLACE_ANSWER_H_
#define VERBENALEAD_LINKS_PLACE_ANSWER_H_

#include <cstdint>

#include "links/replica_news.h"

namespace verbenalead::links {

/// What the target process answers: at once, and once more when a call that
/// waits gets its place.
struct PlaceAnswer {
  uint64_t m_ticket = 0;
  bool m_granted = false;
  /// It waits there.
  bool m_queued = false;
  /// How the replica is, the place that was granted left out.
  ReplicaNews m_news;

  friend bool operator==(const PlaceAnswer&, const PlaceAnswer&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PLACE_ANSWER_H_
