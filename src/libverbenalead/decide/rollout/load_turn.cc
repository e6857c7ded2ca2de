#include "decide/rollout/load_turn.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace verbenalead::decide {
namespace {

/// After this time nearly all streams have ended, and a replica that waits for
/// the rest is idle.
constexpr Duration kMaxDrainTime = 1s;
/// Longest drain in a full pool. After it, the slots that are idle at the
/// replica are worth more than the streams that still run there.
constexpr Duration kMaxDrainTimeOfFullPool = 550ms;
/// Share of occupied slots up to which the free ones can take the calls that
/// draining replicas no longer accept.
constexpr double kMaxFullnessForFullDrain = 0.8;
/// Longest drain of a replica that gets no new calls because its weights are
/// too old. Each replica is then needed as soon as possible, and other replicas
/// can't take over its streams.
constexpr Duration kDrainTimeAfterWindow = 250ms;
/// Bounds of the share of the replicas that may be out of service at the same
/// time, for a full pool and for one with free slots. Both exceed the share of
/// free slots: most slots of a draining replica are still in use, and with
/// shorter drains many streams would be interrupted while no other replica has
/// a free slot. If even without drains a larger share than the upper one would
/// be out, the replicas load in two halves.
constexpr double kMinOutShare = 0.25;
constexpr double kMaxOutShare = 0.5;
/// Shares of occupied slots between which the share that may be out falls.
constexpr double kFullnessForMaxOutShare = 0.65;
constexpr double kFullnessForMinOutShare = 0.75;

Duration Length(const LoadWindow& window) {
  return std::max(Duration(), window.m_end - window.m_begin);
}

/// Whether spread turns would take more than kMaxOutShare out of service, even
/// without drains.
bool NeedsHalves(const LoadWindow& window) {
  return Length(window) * kMaxOutShare < window.m_load;
}

/// A position among the replicas of a data centre that take turns.
struct DataCenterRank {
  /// Replicas of the data centre that come before.
  size_t m_before = 0;
  size_t m_count = 0;
};

/// Whether the replica at `a` in its data centre comes before the one at `b` in
/// another. Each data centre is spread evenly over the order, whatever its
/// number of replicas: the replica at position i of n is placed at (2i + 1) /
/// 2n.
bool IsBefore(const DataCenterRank& a,
              const std::string& data_center_a,
              const DataCenterRank& b,
              const std::string& data_center_b) {
  return std::make_tuple((2 * a.m_before + 1) * b.m_count, data_center_a) <
         std::make_tuple((2 * b.m_before + 1) * a.m_count, data_center_b);
}

/// Sets the rank of `own` in `turn`, and the number of replicas that take
/// turns. Evacuated ones take none.
void SetRank(const TurnReplica& own,
             const std::vector<TurnReplica>& replicas,
             LoadTurn& turn) {
  std::map<std::string, size_t> counts;
  DataCenterRank own_rank;
  for (const TurnReplica& replica : replicas) {
    if (replica.m_evacuated)
      continue;
    ++counts[replica.m_data_center];
    ++turn.m_count;
    if (replica.m_data_center == own.m_data_center && replica.m_id < own.m_id)
      ++own_rank.m_before;
  }
  own_rank.m_count = counts[own.m_data_center];
  turn.m_rank = own_rank.m_before;
  for (const auto& [data_center, count] : counts) {
    DataCenterRank other{0, count};
    while (data_center != own.m_data_center && other.m_before < count &&
           IsBefore(other, data_center, own_rank, own.m_data_center)) {
      ++other.m_before;
      ++turn.m_rank;
    }
  }
}

/// Longest drain after which a replica whose turn begins at the end of the
/// window is back by the bound.
Duration DrainAfterEnd(const LoadWindow& window) {
  return std::max(Duration(), window.m_bound - window.m_end - window.m_load);
}

/// When the turn of `turn.m_rank` begins if the turns are spread.
TimePoint SpreadTime(const LoadWindow& window, const LoadTurn& turn) {
  if (turn.m_count < 2)
    return window.m_begin;
  const Duration spread =
      Length(window) -
      std::max(Duration(), turn.m_drain - DrainAfterEnd(window));
  return window.m_begin + spread * static_cast<int64_t>(turn.m_rank) /
                              static_cast<int64_t>(turn.m_count - 1);
}

TimePoint HalfTime(const LoadWindow& window, const LoadTurn& turn) {
  if (turn.m_rank % 2 == 0)
    return window.m_begin;
  return std::min(window.m_begin + window.m_load, window.m_end);
}

/// Share of the replicas that may be out of service at the same time.
double OutShare(double fullness) {
  const double position = (kFullnessForMinOutShare - fullness) /
                          (kFullnessForMinOutShare - kFullnessForMaxOutShare);
  return std::clamp(kMinOutShare + (kMaxOutShare - kMinOutShare) * position,
                    kMinOutShare, kMaxOutShare);
}

/// The drain with which the share `out` of the replicas is out of service at
/// the same time: (drain + load) / spread of the turns.
Duration DrainForOutShare(const LoadWindow& window, double out) {
  const Duration after_end = DrainAfterEnd(window);
  const auto drain = Length(window) * out - window.m_load;
  if (drain <= after_end)
    return std::chrono::duration_cast<Duration>(drain);
  // The turns are spread over the window less (drain - after_end).
  return std::chrono::duration_cast<Duration>(
      ((Length(window) + after_end) * out - window.m_load) / (1 + out));
}

}  // namespace

const char* ToString(TurnReason reason) {
  switch (reason) {
    case TurnReason::kSpread:
      return "spread";
    case TurnReason::kEven:
      return "even";
    case TurnReason::kHalf:
      return "half";
    case TurnReason::kWindowPast:
      return "window_past";
    case TurnReason::kEvacuated:
      return "evacuated";
    case TurnReason::kUnlisted:
      return "unlisted";
  }
  return "unknown";
}

Duration DrainTime(const LoadWindow& window) {
  if (Length(window) == Duration())
    return kDrainTimeAfterWindow;
  const double free_share = std::clamp(1 - window.m_fullness, 0.0, 1.0);
  const double full_drain_share =
      std::min(1.0, free_share / (1 - kMaxFullnessForFullDrain));
  const Duration longest =
      kMaxDrainTimeOfFullPool +
      std::chrono::duration_cast<Duration>(
          (kMaxDrainTime - kMaxDrainTimeOfFullPool) * full_drain_share);
  const Duration drain = DrainForOutShare(window, OutShare(window.m_fullness));
  return std::clamp(drain, Duration(), longest);
}

LoadTurn TurnOf(const LoadWindow& window,
                const std::string& replica,
                const std::vector<TurnReplica>& replicas,
                TimePoint now) {
  LoadTurn turn;
  turn.m_at = window.m_begin;
  turn.m_drain = DrainTime(window);
  const auto own = std::find_if(
      replicas.begin(), replicas.end(),
      [&](const TurnReplica& other) { return other.m_id == replica; });
  if (own != replicas.end())
    SetRank(*own, replicas, turn);
  if (own != replicas.end() && own->m_evacuated) {
    turn.m_reason = TurnReason::kEvacuated;
    turn.m_drain = kMaxDrainTime;
  } else if (now >= window.m_end) {
    turn.m_reason = TurnReason::kWindowPast;
    turn.m_drain = std::min(turn.m_drain, kDrainTimeAfterWindow);
  } else if (own == replicas.end()) {
    turn.m_reason = TurnReason::kUnlisted;
  } else if (NeedsHalves(window)) {
    turn.m_reason = TurnReason::kHalf;
    turn.m_at = HalfTime(window, turn);
  } else {
    turn.m_at = SpreadTime(window, turn);
  }
  return turn;
}

}  // namespace verbenalead::decide
