#ifndef VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_ACTION_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_ACTION_H_

#include <cstdint>
#include <string>

#include "base/digest.h"
#include "decide/rollout/load_permits.h"

namespace verbenalead::decide {

/// The next action of a host's rollout. Actions are executed one at a time, so
/// that orders to the engine are sent sequentially.
struct RolloutAction {
  enum class Kind {
    kNone,          ///< No action is due; call NextStep() again soon.
    kFetch,         ///< Fetch m_digest into the store.
    kReadPermits,   ///< Read the pool's permits from the table.
    kWritePermits,  ///< Write m_load_permits if its revision is one above the
                    ///< item's.
    kMintFencingToken,  ///< Mint this host's next fencing number in the table.
    kOrder,  ///< Order the engine to load m_digest with token m_fencing_token.
    kQueryEngine,  ///< Query which version the engine serves.
  };
  Kind m_kind = Kind::kNone;
  Digest m_digest;
  uint64_t m_fencing_token = 0;
  LoadPermits m_load_permits;
  /// For kQueryEngine: the value of GateState::m_status_epoch at the time of
  /// the query, to be passed to EngineStatusReceived().
  uint64_t m_status_epoch = 0;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_ACTION_H_
