#include "decide/reading_turn.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// The lost reader, as long as it is heard of, and the first to take over.
constexpr size_t kFirst = 1;
constexpr size_t kSecond = 3;
/// Time for one that comes first to ask the store, 10 ms, and to tell the
/// others, 100 ms.
constexpr Duration kSecondDelay = 200ms;
/// Time for one of the first to read a large configuration over a link that is
/// half full, and to tell of it. There are so many entries only in fleets where
/// what changed may take 3 s to be in force, of which the loss of the reader
/// takes 1.5 s.
constexpr Duration kLastDelay = 900ms;

/// Entries of a data centre that go on asking. One may be cut off by itself.
constexpr size_t kAskOn = 2;
/// The pause of the others: what changed must be in force after 2 s, and they
/// hear of it from a neighbour long before, if any is answered.
constexpr Duration kLeastSeldom = 1200ms;
constexpr Duration kMostSeldom = 1800ms;

Duration SeldomPause(double spread) {
  return kLeastSeldom + std::chrono::duration_cast<Duration>(
                            (kMostSeldom - kLeastSeldom) * spread);
}

Duration DelayFor(size_t before) {
  if (before <= kFirst)
    return Duration();
  return before <= kSecond ? kSecondDelay : kLastDelay;
}

}  // namespace

Reading NextReading(ReadingTurn& turn,
                    bool has_reader,
                    size_t before,
                    TimePoint now) {
  if (has_reader) {
    turn.m_had_reader = true;
    return Reading::kFromPeer;
  }
  if (turn.m_had_reader) {
    turn.m_had_reader = false;
    turn.m_own_from = now + DelayFor(before);
  }
  return now < turn.m_own_from ? Reading::kWaiting : Reading::kOwn;
}

Duration PauseAfterFailure(size_t before, double spread) {
  return before < kAskOn ? Duration() : SeldomPause(spread);
}

Duration PauseAfterAnswer(size_t before, Duration usual, double spread) {
  return before < kAskOn ? usual : std::max(usual, SeldomPause(spread));
}

}  // namespace verbenalead::decide
