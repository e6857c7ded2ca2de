#ifndef VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_STAGE_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_STAGE_H_

namespace verbenalead::decide {

/// Progress of a host's rollout of the declared version.
enum class RolloutStage {
  kIdle,
  kFetching,
  kWaiting,  ///< Waiting for a permit to load.
  kLoading,
  kInForce,
  kFailed,
  kSuperseded,  ///< A newer process controls this engine.
};

const char* ToString(RolloutStage stage);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_STAGE_H_
