#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_NEIGHBOUR_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_NEIGHBOUR_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// Distance of another host, nearest first.
enum class Distance { kDataCenter, kRegion, kRemote };

/// A host that reports to this host which chunks it has.
struct TransferNeighbour {
  /// Empty: this entry of the list is free.
  std::string m_name;
  Distance m_distance = Distance::kDataCenter;
  uint32_t m_fetching = 0;
  /// Smoothed time from a request to the arrival of its chunk; 0: not known
  /// yet.
  Duration m_wait{};
  /// Chunks that it sent with wrong content; they are not requested from it
  /// again.
  std::set<uint32_t> m_bad_chunks;
  /// Consecutive failed fetches since the last valid chunk.
  uint32_t m_failures = 0;
  TimePoint m_fetch_backoff_until{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_NEIGHBOUR_H_
