#ifndef VERBENALEAD_DECIDE_TRANSFER_VERSION_TIMES_H_
#define VERBENALEAD_DECIDE_TRANSFER_VERSION_TIMES_H_

#include "base/time.h"

namespace verbenalead::decide {

/// Durations that the choice between declared versions depends on.
struct VersionTimes {
  /// Time in which the origin sends one chunk.
  Duration m_origin_interval{};
  /// Time from the last chunk at its first host until all hosts have it.
  Duration m_spread{};
  /// Time of a load.
  Duration m_load{};
  /// Cost of one more load of all replicas, as time without usable weights.
  Duration m_load_cost{};

  friend bool operator==(const VersionTimes&, const VersionTimes&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_VERSION_TIMES_H_
