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
#include "decide/admission/admission.h"
#include "decide/attempts/retry.h"
#include "decide/placement/target_selection.h"

namespace verbenalead::daemon {

/// Decides on admission, target selection and retries for one pool. The entry's
/// decision state is sharded by pool, and each shard has its own mutex, so that
/// calls of different pools don't contend for one lock. Thread-safe.
class PoolRouter {
 public:
  explicit PoolRouter(size_t entries);

  /// Sets the number of entries that send calls to the same targets.
  void SetEntryCount(size_t entries);

  /// Waits until `call` is admitted or refused. After kStart, Finish() has to
  /// be called once; otherwise the call's capacity is never released.
  Awaitable<decide::AdmissionAction> Admit(model::Call call);
  /// `elapsed`: as for decide::CallFinished().
  void Finish(const model::Call& call, std::optional<Duration> elapsed);

  /// Chooses a target and counts the attempt as sent to it. AttemptEnded() has
  /// to be called once afterwards. `waited` is the time since target selection
  /// for the call began. Returns nullopt if no target can take the call.
  std::optional<decide::Placement> ChooseTarget(
      const model::Call& call,
      const std::set<std::string>& tried,
      Duration waited);
  /// `running`: the number of running attempts that the target reported, if
  /// any.
  void AttemptEnded(const std::string& target,
                    const model::Call& call,
                    decide::TargetFeedback feedback,
                    Duration elapsed,
                    std::optional<uint32_t> running);
  decide::RetryDecision DecideRetry(const model::Call& call,
                                    const decide::FinishedAttempt& attempt);
  /// Records that a call found all targets full, and lowers the admission
  /// limit. Returns false if the pool has no usable target, so that waiting is
  /// useless.
  bool RecordTargetsFull();

  void ApplyReport(const model::TargetReport& report);
  void RemoveTarget(const std::string& target);
  /// Updates the capacity and handles waiting calls. To be called a few times
  /// per second.
  void Tick();
  std::vector<model::TargetReport> Targets() const;

 private:
  struct Waiter;

  /// Resumes the waiting call of each action with that action. Called with
  /// m_mutex held.
  void Deliver(const std::vector<decide::AdmissionAction>& actions);
  /// Calls Tick() periodically while calls wait. Without it a waiting call
  /// could stay in the queue past its deadline.
  Awaitable<void> Sweep();
  /// Returns true, and marks Sweep() as running, if calls wait and Sweep() is
  /// not running yet. The caller then has to start it. Called with m_mutex
  /// held.
  bool TryStartSweep();

  mutable std::mutex m_mutex;
  decide::AdmissionState m_admit;
  decide::TargetSelectionState m_selection;
  decide::RetryBudget m_budget;
  decide::Random m_random;
  uint64_t m_last_ticket = 0;
  bool m_sweeping = false;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_POOL_ROUTER_H_
