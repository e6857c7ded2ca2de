#ifndef VERBENALEAD_DAEMON_CLAIM_RESULT_H_
#define VERBENALEAD_DAEMON_CLAIM_RESULT_H_

#include <cstdint>
#include <string>

#include "daemon/recorded_answer.h"

namespace verbenalead::daemon {

/// Result of claiming the idempotency key of a call.
struct ClaimResult {
  enum class Kind {
    kClaimed,   ///< Claimed: this call, and no other, may run.
    kAnswered,  ///< An earlier call with the key has ended: see m_answer.
    /// An earlier call with the key is still running, or its outcome was lost.
    kHeld,
    kUnavailable,  ///< The table gave no result: the call must not run.
  };
  Kind m_kind = Kind::kUnavailable;
  /// With kClaimed: identifies this claim when it is recorded or released.
  uint64_t m_writer = 0;
  RecordedAnswer m_answer;
  std::string m_reason;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CLAIM_RESULT_H_
