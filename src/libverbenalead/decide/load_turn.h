#ifndef VERBENALEAD_DECIDE_LOAD_TURN_H_
#define VERBENALEAD_DECIDE_LOAD_TURN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// When a host may load a version that has been declared.
struct LoadTurns {
  /// Time from the declaration within which each replica must have loaded.
  Duration m_bound{};
  /// Time that the transfer to all hosts takes at best.
  Duration m_transfer{};
  /// Time that a replica is out of service for: its running calls end, and it
  /// loads.
  Duration m_outage{};

  friend bool operator==(const LoadTurns&, const LoadTurns&) = default;
};

/// The delay after the declaration at which `replica`, one of `replicas`, stops
/// taking calls and loads.
///
/// Made for a new version at the peak: replicas that load all at once leave
/// callers without any, for the seconds in which running streams end. The turns
/// are spread over the whole time between the end of the transfer and the
/// bound, in an order that each host works out alone from the same list, so
/// that nobody has to be asked and nobody's death holds up the others.
Duration LoadDelay(const LoadTurns& turns,
                   const std::string& replica,
                   std::vector<std::string> replicas);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LOAD_TURN_H_
