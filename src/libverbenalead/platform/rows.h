#ifndef VERBENALEAD_PLATFORM_ROWS_H_
#define VERBENALEAD_PLATFORM_ROWS_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "platform/row.h"

namespace verbenalead::platform {

/// Rows of a table as returned by one read of the store.
struct Rows {
  std::vector<Row> m_rows;
  /// The history of the store that the revisions belong to: it rises each time
  /// the store comes back from a copy, and revisions are given out again. 0 if
  /// the store states none.
  uint64_t m_era = 0;
  /// The store's newest revision when it answered.
  uint64_t m_revision = 0;
  /// The store's steady clock when it answered.
  Duration m_store_time{};
  /// The local boot clock, which also counts time of suspension, right before
  /// the request was sent.
  Duration m_asked_at{};
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ROWS_H_
