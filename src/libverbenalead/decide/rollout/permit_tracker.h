#ifndef VERBENALEAD_DECIDE_ROLLOUT_PERMIT_TRACKER_H_
#define VERBENALEAD_DECIDE_ROLLOUT_PERMIT_TRACKER_H_

#include <map>
#include <string>

#include "base/time.h"
#include "decide/rollout/load_permits.h"
#include "decide/rollout/rollout_plan.h"

namespace verbenalead::decide {

/// Records how long one process has observed each permit without a renewal.
/// Times are from the process's own monotonic clock, so that the expiry of a
/// permit never depends on comparing the clocks of two hosts.
struct PermitTracker {
  struct Observation {
    uint64_t m_number = 0;
    /// When m_number was first observed.
    TimePoint m_since{};
  };
  std::map<std::string, Observation> m_seen;
};

/// How long the holder may act on a permit, counted from the time at which the
/// holder sent the write of the permit or of its renewal.
constexpr Duration kPermitHoldTime = std::chrono::seconds(10);
/// A permit that a host observes without renewal for this long has lapsed.
/// kPermitHoldTime is shorter by a third, so that the holder stops acting on
/// the permit first even if its clock runs slow by a third.
constexpr Duration kPermitLease = std::chrono::seconds(15);
/// Interval between renewals; allows three attempts within kPermitHoldTime.
constexpr Duration kPermitRenewalInterval = std::chrono::seconds(3);

enum class PermitVerdict {
  kGranted,
  kPaused,
  kFull,     ///< The maximum number of hosts, or a newer process, is loading.
  kStopped,  ///< A load of this version failed.
};

struct PermitDecision {
  PermitVerdict m_answer = PermitVerdict::kFull;
  std::string m_reason;
};

/// Updates `tracker` from the permits in `permits`, which were read at `now`.
void Observe(PermitTracker& tracker, const LoadPermits& permits, TimePoint now);
/// Clears all observations. Called when the permits could not be read: holders
/// could not renew during that time either, so the lease of each permit starts
/// again at the next read.
void ClearObservations(PermitTracker& tracker);

/// Decides whether process `owner` of `host` may acquire a permit or keep the
/// permit that it holds.
PermitDecision DecidePermit(const LoadPermits& permits,
                            const PermitTracker& tracker,
                            const std::string& host,
                            uint64_t owner,
                            const RolloutPlan& plan,
                            TimePoint now);

/// Erases the lapsed permits from `permits`.
void EraseLapsed(LoadPermits& permits,
                 const PermitTracker& tracker,
                 TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_PERMIT_TRACKER_H_
