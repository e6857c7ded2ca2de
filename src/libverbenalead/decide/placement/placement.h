#ifndef VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_H_
#define VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <string>

#include "base/digest.h"
#include "base/endpoint.h"

namespace verbenalead::decide {

/// The target chosen for one attempt.
struct Placement {
  std::string m_target;
  Endpoint m_peer;
  uint64_t m_incarnation = 0;
  Digest m_digest;
  std::string m_version;
  /// Why this target was chosen, for the log.
  std::string m_reason;
  /// The target refuses the attempt without running it if more than this many
  /// attempts already run there. Reports lag, and only the target's gate has
  /// the current count: a refusal costs one round trip, an attempt at an
  /// overloaded target costs the wait behind a long call.
  uint32_t m_max_running = UINT32_MAX;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_H_
