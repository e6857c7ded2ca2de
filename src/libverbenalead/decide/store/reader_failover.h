#ifndef VERBENALEAD_DECIDE_STORE_READER_FAILOVER_H_
#define VERBENALEAD_DECIDE_STORE_READER_FAILOVER_H_

#include <cstddef>

#include "base/time.h"

namespace verbenalead::decide {

/// From where an entry gets the tables of the store.
enum class ReadSource {
  /// From another entry of its data centre that reads the store.
  kFromPeer,
  /// From no source for now: an entry that ranks before this one may be taking
  /// over.
  kWaiting,
  /// From the store.
  kFromStore,
};

/// Decides which entry of a data centre reads the store after the reading entry
/// has failed or has lost the store.
///
/// Load: 15 entries in one data centre, a configuration of 100 KB that changes
/// five times a second, and a link of 29 Mbit/s to the store that is half used.
/// Harm: when the responses to the reading entry came too late, all others
/// turned to the store at once. Their 1.5 MB for each change kept the link
/// saturated and all responses late, so that all entries continued to read.
/// Configurations and departures of replicas arrived after 3 to 11 s instead of
/// 2 s.
struct ReaderFailover {
  bool m_had_reader = false;
  /// From when this entry reads the store itself, if no other entry reads it by
  /// then. Set when the reader is lost.
  TimePoint m_read_from{};
};

/// From where to get the tables now. `has_reader`: another entry of the data
/// centre reads the store on behalf of this one. `rank`: how many entries of
/// the data centre come before this one in the order of takeover.
ReadSource NextReadSource(ReaderFailover& failover,
                          bool has_reader,
                          size_t rank,
                          TimePoint now);

/// Minimum pause of a reading entry after a request that the store did not
/// answer.
///
/// Load: the store is unavailable for 5 s, and all of 45 entries have taken
/// over reading. Harm: each entry polled two tables four times a second, in
/// total 1,800 requests that the users pay for. With the pause, only the first
/// entries of each data centre continue to poll at the usual rate, and they
/// announce the return of the store. The others poll seldom, in case the store
/// refuses only the first ones. `spread`, 0 to 1, keeps them from polling at
/// the same moment.
Duration PauseAfterFailure(size_t rank, double spread);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_READER_FAILOVER_H_
