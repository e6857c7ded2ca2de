#ifndef VERBENALEAD_DAEMON_POOL_ROUTER_H_
#define VERBENALEAD_DAEMON_POOL_ROUTER_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "decide/admit.h"
#include "decide/place.h"
#include "decide/retry.h"

namespace verbenalead::daemon {

/// Admission, placement and retries for one pool: one shard of the entry's
/// decision state, under its own lock. May be used from several threads.
class PoolRouter {
 public:
  explicit PoolRouter(size_t entries);

  /// How many entries place on the same targets.
  void SetEntries(size_t entries);

  /// Waits until `call` may start or is refused. After kStart the caller owes
  /// one Finish().
  Awaitable<decide::AdmitAction> Admit(model::Call call);
  /// `elapsed`: as for decide::Finish().
  void Finish(const model::Call& call, std::optional<Duration> elapsed);

  /// Chooses a target and counts the attempt as sent there; the caller owes one
  /// AttemptEnded(). `waited`: since the call was first to be placed.
  std::optional<decide::Placement> Place(const model::Call& call,
                                         const std::set<std::string>& tried,
                                         Duration waited);
  /// `running`: what the target said that it ran, if it did.
  void AttemptEnded(const std::string& target,
                    const model::Call& call,
                    decide::TargetSign sign,
                    Duration elapsed,
                    std::optional<uint32_t> running);
  decide::RetryDecision AfterAttempt(const model::Call& call,
                                     const decide::EndedAttempt& attempt);
  /// A call found all targets full. False: there is none to wait for.
  bool FoundFull();

  void Report(const model::TargetReport& report);
  void RemoveTarget(const std::string& target);
  /// To be called a few times a second.
  void Tick();
  std::vector<model::TargetReport> Targets() const;

 private:
  struct Waiter;

  /// Hands each action to the call that waits for it.
  void Deliver(const std::vector<decide::AdmitAction>& actions);
  /// Runs while calls wait, so that none is left past its deadline.
  Awaitable<void> Sweep();
  /// Starts Sweep() if it is wanted and doesn't run yet.
  bool BeginSweep();

  mutable std::mutex m_mutex;
  decide::AdmitState m_admit;
  decide::PlaceState m_place;
  decide::RetryBudget m_budget;
  decide::Random m_random;
  uint64_t m_last_ticket = 0;
  bool m_sweeping = false;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_POOL_ROUTER_H_
