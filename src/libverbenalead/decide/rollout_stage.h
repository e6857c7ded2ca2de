#ifndef VERBENALEAD_DECIDE_ROLLOUT_STAGE_H_
#define VERBENALEAD_DECIDE_ROLLOUT_STAGE_H_

namespace verbenalead::decide {

/// Where a host stands on its way to the declared version.
enum class RolloutStage {
  kIdle,
  kFetching,
  kWaiting,  ///< For a permit to load.
  kLoading,
  kInForce,
  kFailed,
  kDeposed,  ///< A newer process gives this engine its orders.
};

const char* ToString(RolloutStage stage);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_STAGE_H_
