#include "decide/rollout/permit_tracker.h"

namespace verbenalead::decide {
namespace {

bool HasLapsed(const PermitTracker& tracker,
               const std::string& host,
               const LoadPermit& permit,
               TimePoint now) {
  auto seen = tracker.m_seen.find(host);
  return seen != tracker.m_seen.end() &&
         seen->second.m_number == permit.m_number &&
         now - seen->second.m_since > kPermitLease;
}

bool StopsPlan(const LoadPermit& permit, const RolloutPlan& plan) {
  return permit.m_failed && permit.m_digest == plan.m_digest &&
         permit.m_plan == plan.m_revision;
}

}  // namespace

void Observe(PermitTracker& tracker,
             const LoadPermits& permits,
             TimePoint now) {
  std::erase_if(tracker.m_seen, [&](const auto& seen) {
    return !permits.m_permits.contains(seen.first);
  });
  for (const auto& [host, permit] : permits.m_permits) {
    auto [seen, added] = tracker.m_seen.try_emplace(
        host, PermitTracker::Observation{permit.m_number, now});
    if (!added && seen->second.m_number != permit.m_number)
      seen->second = {permit.m_number, now};
  }
}

void ClearObservations(PermitTracker& tracker) {
  tracker.m_seen.clear();
}

PermitDecision DecidePermit(const LoadPermits& permits,
                            const PermitTracker& tracker,
                            const std::string& host,
                            uint64_t owner,
                            const RolloutPlan& plan,
                            TimePoint now) {
  if (plan.m_paused)
    return {PermitVerdict::kPaused, "paused"};
  uint32_t taken = 0;
  for (const auto& [holder, permit] : permits.m_permits) {
    // A version that fails on one engine is likely to fail on the next one. If
    // the rollout continued, it would shut one gate after another. Unlike a
    // permit, a failure doesn't lapse.
    if (StopsPlan(permit, plan)) {
      return {PermitVerdict::kStopped,
              "stopped: " + holder + ": " + permit.m_reason};
    }
    if (holder != host && !HasLapsed(tracker, holder, permit, now))
      ++taken;
  }
  auto own = permits.m_permits.find(host);
  // A host that acquires a permit erases the lapsed ones. A permit that is
  // still stored has therefore not been replaced by another host's. A host may
  // have two processes, an older one that was paused and the newer one that
  // replaced it. When the older one resumes, it must not act on the permit of
  // the newer one.
  if (own != permits.m_permits.end() && own->second.m_owner > owner &&
      !HasLapsed(tracker, host, own->second, now))
    return {PermitVerdict::kFull, "a newer process of this host has a permit"};
  const bool held = own != permits.m_permits.end() && !own->second.m_failed;
  if (!held && taken >= MaxUnavailable(plan))
    return {PermitVerdict::kFull, std::to_string(taken) + " hosts load"};
  return {PermitVerdict::kGranted, ""};
}

void EraseLapsed(LoadPermits& permits,
                 const PermitTracker& tracker,
                 TimePoint now) {
  std::erase_if(permits.m_permits, [&](const auto& item) {
    return HasLapsed(tracker, item.first, item.second, now);
  });
}

}  // namespace verbenalead::decide
