#ifndef VERBENALEAD_DECIDE_ROLLOUT_PLAN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "decide/config.h"

namespace verbenalead::decide {

/// What a pool's hosts are to bring into force, and how fast.
struct RolloutPlan {
  /// Empty: nothing is declared.
  Digest m_digest;
  /// Revision of the pool's spec: a new one starts anew after a failure.
  uint64_t m_revision = 0;
  uint32_t m_max_unavailable_percent = 25;
  bool m_paused = false;
  /// Hosts of the pool. From the host list, so a hint.
  uint32_t m_hosts = 1;
  /// All declared versions of the same model, and their names: what an engine
  /// may be found serving.
  std::map<Digest, std::string> m_declared;

  friend bool operator==(const RolloutPlan&, const RolloutPlan&) = default;
};

RolloutPlan PlanForPool(const ConfigState& state,
                        const std::string& pool,
                        uint32_t hosts);

/// How many hosts may load at once. At least one, or a small pool would never
/// move; rounded down, so that the share is a bound.
uint32_t MaxUnavailable(const RolloutPlan& plan);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_PLAN_H_
