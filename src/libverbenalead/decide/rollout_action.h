#ifndef VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_

#include <cstdint>
#include <string>

#include "base/digest.h"
#include "decide/load_permits.h"

namespace verbenalead::decide {

/// The next action of a host's rollout. Actions are executed one at a time, so
/// that orders to the engine are sent sequentially.
struct RolloutAction {
  enum class Kind {
    kNone,          ///< No action is due; call NextStep() again soon.
    kFetch,         ///< Fetch m_digest into the store.
    kReadPermits,   ///< Read the pool's permits from the table.
    kWritePermits,  ///< Write m_board if its revision is one above the item's.
    kMintFence,     ///< Mint this host's next fencing number in the table.
    kOrder,         ///< Order the engine to load m_digest with token m_fence.
    kAskEngine,     ///< Query which version the engine serves.
  };
  Kind m_kind = Kind::kNone;
  Digest m_digest;
  uint64_t m_fence = 0;
  PermitBoard m_board;
  /// For kAskEngine: the value of GateState::m_doubt at the time of the query,
  /// to be passed to EngineAnswered().
  uint64_t m_doubt = 0;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_
