#ifndef VERBENALEAD_DECIDE_ADMISSION_RANK_FLOOR_H_
#define VERBENALEAD_DECIDE_ADMISSION_RANK_FLOOR_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "base/time.h"
#include "model/rank.h"

namespace verbenalead::decide {

/// Keeps a rank from starving: a rank that is served less than kRankFloorShare
/// as often as the mean of all ranks goes first until it no longer is.
///
/// Load: urgent calls alone ask for more than the capacity. Harm: with a strict
/// order, calls of the less urgent ranks would never get a slot.
///
///     NoteGranted(floor, rank, now);
///     NoteUnserved(floor, rank, 1, now);
///     if (GoesFirst(floor, rank)) ...
struct RankFloor {
  /// Calls that asked for a slot and calls that got one, decayed exponentially
  /// with kRankFloorDecay.
  struct Count {
    double m_asked = 0;
    double m_granted = 0;

    friend bool operator==(const Count&, const Count&) = default;
  };

  /// By rank.
  std::array<Count, model::kRanks> m_counts{};
  TimePoint m_decayed_at{};

  friend bool operator==(const RankFloor&, const RankFloor&) = default;
};

constexpr Duration kRankFloorDecay = 6s;
/// A rank goes first while it is served less often than this share of the mean.
/// The guarantee is one half; the rest is margin, as a target sees only a few
/// calls a second and the counts are noisy.
constexpr double kRankFloorShare = 0.62;
/// Number of calls of a rank below which its count says nothing.
constexpr double kMinAskedForFloor = 1;

inline int ClampRank(int rank) {
  return std::clamp(rank, 0, model::kLeastUrgentRank);
}

/// Counts `calls` calls of the rank, of which `granted` got a slot.
inline void NoteRank(RankFloor& floor,
                     int rank,
                     double calls,
                     double granted,
                     TimePoint now) {
  if (now > floor.m_decayed_at) {
    const double kept =
        std::exp(-std::chrono::duration<double>(now - floor.m_decayed_at) /
                 kRankFloorDecay);
    for (RankFloor::Count& count : floor.m_counts) {
      count.m_asked *= kept;
      count.m_granted *= kept;
    }
    floor.m_decayed_at = now;
  }
  RankFloor::Count& count =
      floor.m_counts[static_cast<size_t>(ClampRank(rank))];
  count.m_asked += calls;
  count.m_granted += granted;
}

inline void NoteGranted(RankFloor& floor, int rank, TimePoint now) {
  NoteRank(floor, rank, 1, 1, now);
}

/// `calls` is below 1 where the same call is counted at several places.
inline void NoteUnserved(RankFloor& floor,
                         int rank,
                         double calls,
                         TimePoint now) {
  NoteRank(floor, rank, calls, 0, now);
}

/// Whether calls of this rank go before those of all ranks for which this
/// doesn't hold. Never holds while all calls have the same rank.
inline bool GoesFirst(const RankFloor& floor, int rank) {
  RankFloor::Count all;
  for (const RankFloor::Count& count : floor.m_counts) {
    all.m_asked += count.m_asked;
    all.m_granted += count.m_granted;
  }
  const RankFloor::Count& own =
      floor.m_counts[static_cast<size_t>(ClampRank(rank))];
  if (own.m_asked < kMinAskedForFloor)
    return false;
  return own.m_granted / own.m_asked <
         kRankFloorShare * all.m_granted / all.m_asked;
}

/// Rank by which calls are ordered, smallest first: negative for a rank that
/// goes first.
inline int OrderedRank(const RankFloor& floor, int rank) {
  return GoesFirst(floor, rank) ? rank - model::kRanks : rank;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_RANK_FLOOR_H_
