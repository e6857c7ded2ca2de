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

namespace verbenalead::daemon {

/// Admission and placement for one pool: one shard of the entry's decision
/// state, under its own lock. May be used from several threads.
class PoolRouter {
 public:
  /// Waits until `call` may start or is refused. After kStart the caller owes
  /// one Finish().
  Awaitable<decide::AdmitAction> Admit(model::Call call);
  void Finish();

  /// Chooses a target and counts the attempt as sent there; the caller owes one
  /// AttemptEnded().
  std::optional<decide::Placement> Place(const model::Call& call,
                                         const std::set<std::string>& tried);
  void AttemptEnded(const std::string& target, bool broken);

  void Report(const model::TargetReport& report);
  void RemoveTarget(const std::string& target);
  /// To be called a few times a second.
  void Tick();
  std::vector<model::TargetReport> Targets() const;

 private:
  struct Waiter;

  /// Hands each action to the call that waits for it.
  void Deliver(const std::vector<decide::AdmitAction>& actions);

  mutable std::mutex m_mutex;
  decide::AdmitState m_admit;
  decide::PlaceState m_place;
  std::map<std::string, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_POOL_ROUTER_H_
