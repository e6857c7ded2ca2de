#ifndef VERBENALEAD_DECIDE_CLAIM_ACTION_H_
#define VERBENALEAD_DECIDE_CLAIM_ACTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/claim_put.h"

namespace verbenalead::decide {

/// How one ClaimWork ended.
enum class ClaimEnd {
  kDone,         ///< It took effect: a claim is ours.
  kAnswered,     ///< A claim: the key's call has ended; its outcome is there.
  kHeld,         ///< A claim: another call holds the key.
  kUnavailable,  ///< The table can't say. A claim: not run, will not be.
};

/// What the batch tells its daemon to do.
struct ClaimAction {
  enum class Kind {
    kTransact,  ///< Write m_puts as group m_id, then call GroupEnded().
    kRead,      ///< Read m_key for work m_id, then call ReadEnded().
    kSettle,    ///< Work m_id has ended as m_end.
    kWake,      ///< Call Tick() at m_at.
  };
  Kind m_kind = Kind::kWake;
  uint64_t m_id = 0;
  std::vector<ClaimPut> m_puts;
  std::string m_key;
  ClaimEnd m_end = ClaimEnd::kDone;
  /// kSettle: the outcome (kAnswered) or the request that holds the key.
  std::string m_value;
  TimePoint m_at{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIM_ACTION_H_
