#ifndef VERBENALEAD_DECIDE_PERMIT_WATCH_H_
#define VERBENALEAD_DECIDE_PERMIT_WATCH_H_

#include <map>
#include <string>

#include "base/time.h"
#include "decide/permit_board.h"
#include "decide/rollout_plan.h"

namespace verbenalead::decide {

/// Since when one process has seen each permit unrenewed, by its own monotonic
/// clock: no clocks of two hosts are ever compared.
struct PermitWatch {
  struct Seen {
    uint64_t m_number = 0;
    TimePoint m_since{};
  };
  std::map<std::string, Seen> m_seen;
};

/// For so long after it was sent, a holder may act on a permit.
constexpr Duration kPermitHold = std::chrono::seconds(10);
/// A permit seen unrenewed for so long has lapsed. Longer than kPermitHold by a
/// third, so that a holder's own time is over first even if its clock runs
/// slow by as much.
constexpr Duration kPermitLease = std::chrono::seconds(15);
/// Three tries before kPermitHold is over.
constexpr Duration kPermitRenewal = std::chrono::seconds(3);

enum class PermitAnswer {
  kGranted,
  kPaused,
  kFull,     ///< As many hosts load as may.
  kStopped,  ///< A load of this version failed.
};

struct PermitDecision {
  PermitAnswer m_answer = PermitAnswer::kFull;
  std::string m_reason;
};

/// Takes note of `board` as read at `now`.
void Observe(PermitWatch& watch, const PermitBoard& board, TimePoint now);
/// The board could not be read: nobody could renew either, so time begins anew.
void Forget(PermitWatch& watch);

/// Whether process `owner` of `host` may take a permit, or keep the one that it
/// has.
PermitDecision Decide(const PermitBoard& board,
                      const PermitWatch& watch,
                      const std::string& host,
                      uint64_t owner,
                      const RolloutPlan& plan,
                      TimePoint now);

/// Erases what has lapsed.
void EraseLapsed(PermitBoard& board, const PermitWatch& watch, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PERMIT_WATCH_H_
