#ifndef VERBENALEAD_DECIDE_PLACEMENT_H_
#define VERBENALEAD_DECIDE_PLACEMENT_H_

#include <cstdint>
#include <string>

#include "base/digest.h"
#include "base/endpoint.h"

namespace verbenalead::decide {

/// Where one attempt goes.
struct Placement {
  std::string m_target;
  Endpoint m_peer;
  uint64_t m_incarnation = 0;
  Digest m_digest;
  std::string m_version;
  /// Why this one, for the log.
  std::string m_reason;
  /// The target is to refuse the attempt, as not run, if more than this many
  /// run there already. Reports lag, and its gate alone knows: a refusal costs
  /// one round trip, a wrong guess the wait behind a long call.
  uint32_t m_max_running = UINT32_MAX;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_H_
