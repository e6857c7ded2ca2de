#include "decide/reading_turn.h"

namespace verbenalead::decide {
namespace {

/// The lost reader, as long as it is heard of, and the first to take over.
constexpr size_t kLastImmediateRank = 1;
constexpr size_t kLastShortDelayRank = 3;
/// Time for one that comes first to ask the store, 10 ms, and to tell the
/// others, 100 ms.
constexpr Duration kShortTakeoverDelay = 200ms;
/// A reader is missed 1.5 s after its last answer, and what changed must be in
/// force after 2 s; so none waits longer than this.
constexpr Duration kMaxTakeoverDelay = 350ms;

/// Entries of a data centre that go on asking. One may be cut off by itself.
constexpr size_t kConstantPollers = 2;
/// The pause of the others: what changed must be in force after 2 s, and they
/// hear of it from a neighbour long before, if any is answered.
constexpr Duration kMinRetryPause = 1200ms;
constexpr Duration kMaxRetryPause = 1800ms;

Duration TakeoverDelay(size_t rank) {
  if (rank <= kLastImmediateRank)
    return Duration();
  return rank <= kLastShortDelayRank ? kShortTakeoverDelay : kMaxTakeoverDelay;
}

}  // namespace

Reading NextReading(ReadingTurn& turn,
                    bool has_reader,
                    size_t rank,
                    TimePoint now) {
  if (has_reader) {
    turn.m_had_reader = true;
    return Reading::kFromPeer;
  }
  if (turn.m_had_reader) {
    turn.m_had_reader = false;
    turn.m_own_from = now + TakeoverDelay(rank);
  }
  return now < turn.m_own_from ? Reading::kWaiting : Reading::kOwn;
}

Duration PauseAfterFailure(size_t rank, double spread) {
  if (rank < kConstantPollers)
    return Duration();
  return kMinRetryPause + std::chrono::duration_cast<Duration>(
                              (kMaxRetryPause - kMinRetryPause) * spread);
}

}  // namespace verbenalead::decide
