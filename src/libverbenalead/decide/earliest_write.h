#ifndef VERBENALEAD_DECIDE_EARLIEST_WRITE_H_
#define VERBENALEAD_DECIDE_EARLIEST_WRITE_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// A store that proves nothing to a data centre for longer is away; an entry
/// that takes over reading for another one needs less.
constexpr Duration kOutage = 3s;

/// The earliest moment at which a row may have been written that is new in an
/// answer of the store. All times are of one clock that counts suspension.
///
/// Failure: between two questions to the store a declaration lies there unseen,
/// for half a second or more while answers are large and links are full.
/// Symptom: counted from the answer that brings it, its bound ends that much
/// late, and calls begin on older weights after it. `proved_at` is when the
/// store last said that there was nothing newer, so the row is younger than
/// that; a question that the store held open was answered as soon as the row
/// was there, so only the time in which none was open is lost.
///
/// Time in which the store couldn't be asked doesn't count: nobody can act on
/// what nobody hears, and older weights are barred to no avail while the newer
/// ones have yet to come.
inline Duration EarliestWrite(Duration asked_at,
                              Duration answered_at,
                              std::optional<Duration> proved_at) {
  if (!proved_at)
    return answered_at;
  const Duration unasked =
      std::max<Duration>(Duration(), asked_at - *proved_at);
  if (unasked > kOutage)
    return answered_at;
  return std::max(*proved_at, answered_at - unasked);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_EARLIEST_WRITE_H_
