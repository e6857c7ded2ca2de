#ifndef VERBENALEAD_DAEMON_CLAIM_RESULT_H_
#define VERBENALEAD_DAEMON_CLAIM_RESULT_H_

#include <cstdint>
#include <string>

#include "daemon/recorded_answer.h"

namespace verbenalead::daemon {

/// What came of claiming a call's key.
struct ClaimResult {
  enum class Kind {
    kOurs,         ///< Claimed: this call, and no other, may run.
    kAnswered,     ///< An earlier call with the key has ended: m_answer.
    kHeld,         ///< An earlier call with the key is under way or was lost.
    kUnavailable,  ///< The table can't say: not run.
  };
  Kind m_kind = Kind::kUnavailable;
  /// kOurs: names this claim when it is ended.
  uint64_t m_writer = 0;
  RecordedAnswer m_answer;
  std::string m_reason;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CLAIM_RESULT_H_
