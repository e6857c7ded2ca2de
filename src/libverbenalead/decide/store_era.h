#ifndef VERBENALEAD_DECIDE_STORE_ERA_H_
#define VERBENALEAD_DECIDE_STORE_ERA_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// The era of the store, and since when it is known. Times are on a clock that
/// counts while the host is suspended.
struct StoreEra {
  /// Newest era that an answer or another process has stated; 0: none.
  uint64_t m_era = 0;
  /// When this era was first seen to follow an older one; absent: the process
  /// has known no older one.
  std::optional<Duration> m_since;
};

/// Records that an answer or another process states `era`. Returns whether it
/// follows an older one that this process knew.
inline bool RecordEra(StoreEra& known, uint64_t era, Duration now) {
  if (era <= known.m_era)
    return false;
  const bool follows = known.m_era > 0;
  known.m_era = era;
  if (follows)
    known.m_since = now;
  return follows;
}

/// Records that another process has known `era` since `since`. A process that
/// starts right after the store's return learns only from others that it has
/// just returned.
inline void RecordEraSince(StoreEra& known, uint64_t era, Duration since) {
  if (era == known.m_era && era > 0)
    known.m_since = std::min(known.m_since.value_or(since), since);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_ERA_H_
