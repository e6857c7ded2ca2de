#ifndef VERBENALEAD_DECIDE_READING_TURN_H_
#define VERBENALEAD_DECIDE_READING_TURN_H_

#include <cstddef>

#include "base/time.h"

namespace verbenalead::decide {

/// How an entry learns what the store holds.
enum class Reading {
  /// From a near entry that reads it.
  kFromPeer,
  /// Not just now: one that comes first may be taking over.
  kWaiting,
  /// By itself.
  kOwn,
};

/// Which of the entries of a data centre reads the store when the one that did
/// can't any more.
///
/// Load: 15 entries near each other, a configuration of 100 KB that changes
/// five times a second, and a link of 29 Mbit/s to the store that is half used.
/// Harm: when the answers for the reading entry came too late, all others
/// turned to the store at once; their 1.5 MB for each change kept the link full
/// and all answers late, so that they went on. Configurations and departures of
/// replicas were heard of 3 to 11 s late, in place of 2 s.
struct ReadingTurn {
  bool m_had_reader = false;
  /// When it is this entry's turn, once nobody reads for it any more.
  TimePoint m_own_from{};
};

/// What to do now. `has_reader`: a near entry reads for this one; `before`: how
/// many near entries come before this one in the order of taking over.
Reading NextReading(ReadingTurn& turn,
                    bool has_reader,
                    size_t rank,
                    TimePoint now);

/// Least pause of a reading entry after a question that the store didn't
/// answer.
///
/// Load: the store is away for 5 s, and 45 entries have all taken over reading.
/// Harm: asked four times a second by each of them, for two tables, it got
/// 1,800 questions that the users pay for. The first of each data centre ask
/// on, and tell the others of its return; those ask seldom, in case that the
/// store only turns the first ones away. `spread`, 0 to 1, keeps them from
/// asking together.
Duration PauseAfterFailure(size_t rank, double spread);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_READING_TURN_H_
