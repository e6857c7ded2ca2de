#include "decide/store/reader_failover.h"

namespace verbenalead::decide {
namespace {

/// Up to the first rank, entries take over without delay: the next entry, and
/// the lost reader itself, which counts in the ranks until it is considered
/// lost. Up to the second rank, they take over after kShortTakeoverDelay.
constexpr size_t kLastImmediateRank = 1;
constexpr size_t kLastShortDelayRank = 3;
/// Time for an entry that takes over without delay to query the store, 10 ms,
/// and to announce the result to the others, 100 ms.
constexpr Duration kShortTakeoverDelay = 200ms;
/// A reader is considered lost 1.5 s after its last answer, and a change must
/// be in force within 2 s, so that no entry may wait longer than this.
constexpr Duration kMaxTakeoverDelay = 350ms;

/// Entries of a data centre that continue to poll at the usual rate. Two, since
/// one may be cut off by itself.
constexpr size_t kConstantPollers = 2;
/// Pause of the other entries. It is below the 2 s within which a change must
/// be in force. If the store answers any entry, the others receive the change
/// from it long before.
constexpr Duration kMinRetryPause = 1200ms;
constexpr Duration kMaxRetryPause = 1800ms;

Duration TakeoverDelay(size_t rank) {
  if (rank <= kLastImmediateRank)
    return Duration();
  return rank <= kLastShortDelayRank ? kShortTakeoverDelay : kMaxTakeoverDelay;
}

}  // namespace

ReadSource NextReadSource(ReaderFailover& failover,
                          bool has_reader,
                          size_t rank,
                          TimePoint now) {
  if (has_reader) {
    failover.m_had_reader = true;
    return ReadSource::kFromPeer;
  }
  if (failover.m_had_reader) {
    failover.m_had_reader = false;
    failover.m_read_from = now + TakeoverDelay(rank);
  }
  return now < failover.m_read_from ? ReadSource::kWaiting
                                    : ReadSource::kFromStore;
}

Duration PauseAfterFailure(size_t rank, double spread) {
  if (rank < kConstantPollers)
    return Duration();
  return kMinRetryPause + std::chrono::duration_cast<Duration>(
                              (kMaxRetryPause - kMinRetryPause) * spread);
}

}  // namespace verbenalead::decide
