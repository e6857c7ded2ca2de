#ifndef VERBENALEAD_PLATFORM_ROWS_H_
#define VERBENALEAD_PLATFORM_ROWS_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "platform/row.h"

namespace verbenalead::platform {

/// What the store answered about a table.
struct Rows {
  std::vector<Row> m_rows;
  /// The store's newest revision when it answered.
  uint64_t m_revision = 0;
  /// The store's steady clock when it answered.
  Duration m_store_time{};
  /// Our clock that counts suspension, right before the question was sent.
  Duration m_asked_at{};
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ROWS_H_
