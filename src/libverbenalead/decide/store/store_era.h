#ifndef VERBENALEAD_DECIDE_STORE_STORE_ERA_H_
#define VERBENALEAD_DECIDE_STORE_STORE_ERA_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// The era of the store, and since when it is known. Times are on a clock that
/// counts while the host is suspended.
struct StoreEra {
  /// Newest era that an answer or another process has stated; 0: none.
  uint64_t m_era = 0;
  /// The earliest time at which a process is known to have seen this era, which
  /// may have begun right before; absent: the store has never come back.
  std::optional<Duration> m_since;
};

/// The era of a store that has never come back from a copy.
constexpr uint64_t kFirstEra = 1;

/// Time after the store's return from a copy within which the operator and the
/// replicas have written again what the copy lacks.
constexpr Duration kWrittenAgainWithin = 2s;

/// Records that an answer or another process states `era`. Returns whether it
/// follows an older one that this process knew.
///
/// Failure: a process starts right after the return, and takes the store's
/// first answer, by the copy, for a proof. Symptom: it runs calls with a key
/// whose removal the copy lacks. A process that knows no older era can't tell
/// how long ago the return was, so for it the era begins with what it sees
/// first, until another process tells of an earlier time.
inline bool RecordEra(StoreEra& known, uint64_t era, Duration now) {
  if (era <= known.m_era)
    return false;
  const bool follows = known.m_era > 0;
  known.m_era = era;
  if (follows || era > kFirstEra)
    known.m_since = now;
  return follows;
}

/// Records that another process has known `era` since `since`. The era began
/// before any process saw it, so the earliest time is the closest.
inline void RecordEraSince(StoreEra& known, uint64_t era, Duration since) {
  if (era == known.m_era && era > 0)
    known.m_since = std::min(known.m_since.value_or(since), since);
}

/// Whether a proof of the store that dates from `at` shows that nothing newer
/// was acknowledged.
///
/// Failure: a key is taken away, the store comes back from a copy without that
/// change, and confirms that nothing is newer. Symptom: calls with the key run
/// beyond their bound. Proofs count once the lost changes are written again; an
/// older lease keeps its length meanwhile.
inline bool IsSettled(const StoreEra& known, Duration at) {
  return !known.m_since || at >= *known.m_since + kWrittenAgainWithin;
}

/// Whether a proof of `at` was given between the store's return and the time
/// from which proofs count. A process that learns of the return from others
/// after its first proof must not rely on that proof.
inline bool IsFromGap(const StoreEra& known, Duration at) {
  return known.m_since && at >= *known.m_since && !IsSettled(known, at);
}

/// Time from `now` until proofs count; zero or less: they do.
inline Duration TimeUntilSettled(const StoreEra& known, Duration now) {
  return known.m_since ? *known.m_since + kWrittenAgainWithin - now
                       : Duration();
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_STORE_ERA_H_
