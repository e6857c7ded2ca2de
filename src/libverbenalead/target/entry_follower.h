#ifndef VERBENALEAD_TARGET_ENTRY_FOLLOWER_H_
#define VERBENALEAD_TARGET_ENTRY_FOLLOWER_H_

#include "base/time.h"
#include "links/replica_news.h"

namespace verbenalead::target {

/// An entry that wants to know how the replica is.
struct EntryFollower {
  /// It is told until then, unless it asks again.
  TimePoint m_until{};
  /// What it has at the replica, and when it said so.
  links::ReplicaCalls m_calls;
  TimePoint m_calls_at{};
  /// It was denied a place since it was told anything: calls wait there.
  bool m_denied = false;
  /// What it was told last.
  links::ReplicaNews m_told;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ENTRY_FOLLOWER_H_
