#include "decide/rollout/even_turn.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Nearly all streams end within the longest drain time, half of them within
/// the shortest.
constexpr Duration kMaxDrainTime = 1500ms;
constexpr Duration kMinDrainTime = 550ms;
/// Share of occupied slots up to which the free ones can take the calls that
/// draining replicas no longer accept.
constexpr double kMaxFullnessForFullDrain = 0.8;

}  // namespace

LoadTurn EvenTurnOf(const LoadWindow& window,
                    const std::string& replica,
                    const std::vector<TurnReplica>& replicas) {
  LoadTurn turn;
  turn.m_at = window.m_begin;
  turn.m_drain = EvenDrainTime(window.m_fullness);
  turn.m_count = replicas.size();
  turn.m_reason = TurnReason::kEven;
  const bool is_listed = std::any_of(
      replicas.begin(), replicas.end(),
      [&](const TurnReplica& other) { return other.m_id == replica; });
  if (!is_listed)
    turn.m_reason = TurnReason::kUnlisted;
  if (!is_listed || replicas.size() < 2)
    return turn;
  turn.m_rank = static_cast<size_t>(std::count_if(
      replicas.begin(), replicas.end(),
      [&](const TurnReplica& other) { return other.m_id < replica; }));
  turn.m_at = window.m_begin + (window.m_end - window.m_begin) *
                                   static_cast<int64_t>(turn.m_rank) /
                                   static_cast<int64_t>(turn.m_count - 1);
  return turn;
}

Duration EvenDrainTime(double fullness) {
  const double spare_share =
      std::clamp((1 - fullness) / (1 - kMaxFullnessForFullDrain), 0.0, 1.0);
  return kMinDrainTime + std::chrono::duration_cast<Duration>(
                             (kMaxDrainTime - kMinDrainTime) * spare_share);
}

}  // namespace verbenalead::decide
