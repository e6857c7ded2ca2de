#ifndef VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_

#include <cstdint>
#include <string>

#include "base/digest.h"
#include "decide/permit_board.h"

namespace verbenalead::decide {

/// The next thing that a host's rollout needs done. One at a time, so orders
/// to the engine go out in series.
struct RolloutAction {
  enum class Kind {
    kNone,          ///< Nothing now; ask again soon.
    kFetch,         ///< Bring m_digest into the store.
    kReadPermits,   ///< Read the pool's permits from the table.
    kWritePermits,  ///< Write m_board if its revision is one above the item's.
    kMintFence,     ///< Mint this host's next fencing number in the table.
    kOrder,         ///< Order the engine to load m_digest under m_fence.
    kAskEngine,     ///< Ask the engine what it serves.
  };
  Kind m_kind = Kind::kNone;
  Digest m_digest;
  uint64_t m_fence = 0;
  PermitBoard m_board;
  /// For kAskEngine: hand it back to EngineAnswered.
  uint64_t m_doubt = 0;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ACTION_H_
