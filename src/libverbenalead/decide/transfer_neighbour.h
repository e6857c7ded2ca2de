#ifndef VERBENALEAD_DECIDE_TRANSFER_NEIGHBOUR_H_
#define VERBENALEAD_DECIDE_TRANSFER_NEIGHBOUR_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// How far a host is, nearest first.
enum class Distance { kDataCenter, kRegion, kFar };

/// A host whose news this host follows.
struct TransferNeighbour {
  /// Empty: the place is free.
  std::string m_name;
  Distance m_distance = Distance::kDataCenter;
  uint32_t m_fetching = 0;
  /// From request to chunk, smoothed; 0: not known yet.
  Duration m_wait{};
  /// Chunks that came wrong from there: never asked of it again.
  std::set<uint32_t> m_bad;
  /// Failures since the last good chunk.
  uint32_t m_failures = 0;
  TimePoint m_shunned_until{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_NEIGHBOUR_H_
