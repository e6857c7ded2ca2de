#ifndef VERBENALEAD_DECIDE_PATIENCE_SHARE_H_
#define VERBENALEAD_DECIDE_PATIENCE_SHARE_H_

#include <algorithm>

namespace verbenalead::decide {

/// The part of their patience for which calls of a service wait, learned from
/// those that come late.
///
/// Load: a pool above what it can do, where calls are placed at the last moment
/// at which they can be on time. Harm: what isn't reckoned with, such as slow
/// replicas and queues on links, makes them late, and each takes a place from a
/// call that would have been on time. Long prompts have little patience; a time
/// that all had to keep free would leave them none, so that each kind gives up
/// the same part of its own.
struct PatienceShare {
  double m_share = 1;

  friend bool operator==(const PatienceShare&, const PatienceShare&) = default;
};

/// Part of the calls that have waited for a place that may come late: with
/// fewer, places go to none of several calls that could have been on time.
constexpr double kLateShare = 0.05;
/// What one late call takes off; ten in a row halve the patience.
constexpr double kLateStep = 0.05;
/// Below that replicas are so slow that waiting less doesn't help.
constexpr double kLeastShare = 0.3;

/// A call that waited for its place has begun to answer. At rest the share
/// grows as much by those on time as it falls by kLateShare that come late.
inline void NoteFirstEvent(PatienceShare& share, bool late) {
  constexpr double kRise = kLateStep * kLateShare / (1 - kLateShare);
  share.m_share =
      std::clamp(share.m_share + (late ? -kLateStep : kRise), kLeastShare, 1.0);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PATIENCE_SHARE_H_
