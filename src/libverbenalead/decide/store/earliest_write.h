#ifndef VERBENALEAD_DECIDE_STORE_EARLIEST_WRITE_H_
#define VERBENALEAD_DECIDE_STORE_EARLIEST_WRITE_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// If the store has not confirmed for longer than this that the rows of a data
/// centre are up to date, the store counts as unavailable. When an entry takes
/// over the store queries of another entry, the gap is shorter.
constexpr Duration kMaxUnprovedTime = 3s;

/// Earliest time at which a row that is new in an answer of the store may have
/// been written. All times are on one clock that also counts while the system
/// is suspended.
///
/// Failure: a declaration of new weights is written between two queries to the
/// store and stays unseen for half a second or more, while answers are large
/// and links are saturated. Symptom: the deadline of the declaration, counted
/// from the answer that contains it, is late by that time, and calls still
/// begin on older weights after the true deadline. `proved_at` is when the
/// store last confirmed that there was nothing newer, so the row was written
/// after that. A query that the store holds open is answered as soon as there
/// is a new row, so only the time without an open query adds to the row's
/// possible age.
///
/// An outage of the store is not counted. No process can act on a declaration
/// that it cannot read, and counting the outage would reject older weights
/// before any replica has loaded the newer ones. If only some processes were
/// without the store, the others know a better date, see IsWriteTimeProved().
inline Duration EarliestWriteTime(Duration requested_at,
                                  Duration answered_at,
                                  std::optional<Duration> proved_at) {
  if (!proved_at)
    return answered_at;
  const Duration time_without_query =
      std::max<Duration>(Duration(), requested_at - *proved_at);
  if (time_without_query > kMaxUnprovedTime)
    return answered_at;
  return std::max(*proved_at, answered_at - time_without_query);
}

/// Whether EarliestWriteTime() is a proved lower bound: the time without an
/// open query is counted. Otherwise the row may be older.
inline bool IsWriteTimeProved(Duration requested_at,
                              std::optional<Duration> proved_at) {
  return proved_at && requested_at - *proved_at <= kMaxUnprovedTime;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_EARLIEST_WRITE_H_
