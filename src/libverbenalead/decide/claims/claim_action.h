#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_ACTION_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_ACTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/claims/claim_put.h"

namespace verbenalead::decide {

/// How one ClaimOperation ended.
enum class ClaimEnd {
  kDone,      ///< The write took effect; for a claim, the writer holds the key.
  kAnswered,  ///< Claim only: the key's call has ended with a recorded outcome.
  kHeld,      ///< Claim only: another call holds the key.
  /// The table did not confirm the write. The call of a claim was not run and
  /// will not be.
  kUnavailable,
};

/// One action that the claim batch requests from the daemon that runs it.
struct ClaimAction {
  enum class Kind {
    kTransact,      ///< Write m_puts as group m_id, then call GroupEnded().
    kRead,          ///< Read m_key for operation m_id, then call ReadEnded().
    kReportResult,  ///< Report to the submitter that operation m_id ended as
                    ///< m_end.
    kScheduleTick,  ///< Call Tick() at m_at.
  };
  Kind m_kind = Kind::kScheduleTick;
  uint64_t m_id = 0;
  std::vector<ClaimPut> m_puts;
  std::string m_key;
  ClaimEnd m_end = ClaimEnd::kDone;
  /// For kReportResult: the recorded outcome if m_end is kAnswered, or the
  /// request that holds the key if m_end is kHeld.
  std::string m_value;
  TimePoint m_at{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_ACTION_H_
