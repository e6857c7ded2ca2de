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
  /// The store's newest revision when it answered.
  model::Revision m_revision;
  /// The store's steady clock when it answered.
  Duration m_store_time{};
  /// The local boot clock, which also counts time of suspension, right before
  /// the request was sent.
  Duration m_asked_at{};
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ROWS_H_
