#ifndef VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_PLAN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "decide/config/config.h"

namespace verbenalead::decide {

/// The version that the hosts of a pool have to load and the limits of its
/// rollout, derived from the configuration.
struct RolloutPlan {
  /// The declared version; empty if none is declared.
  Digest m_digest;
  /// Revision of the pool's spec. A new revision restarts a rollout that a
  /// failed load has stopped.
  uint64_t m_revision = 0;
  uint32_t m_max_unavailable_percent = 25;
  bool m_paused = false;
  /// Number of hosts in the pool. Taken from the host list, so it may be out of
  /// date.
  uint32_t m_hosts = 1;
  /// All declared versions of the same model, with their names. An engine may
  /// validly be serving any of these.
  std::map<Digest, std::string> m_declared;

  friend bool operator==(const RolloutPlan&, const RolloutPlan&) = default;
};

/// Returns the rollout plan of `pool`, which has `hosts` hosts.
RolloutPlan PlanForPool(const ConfigState& state,
                        const std::string& pool,
                        uint32_t hosts);

/// Returns how many hosts may load at once. The configured share is rounded
/// down, so that it is never exceeded, but at least one host may load;
/// otherwise a small pool would never change its version.
uint32_t MaxUnavailable(const RolloutPlan& plan);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_PLAN_H_
