#ifndef VERBENALEAD_ENTRY_PLACE_WAITER_H_
#define VERBENALEAD_ENTRY_PLACE_WAITER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "entry/place_asker.h"

namespace verbenalead::entry {

/// Lets calls wait for a place at a replica and wakes them.
class PlaceWaiter {
 public:
  /// `asker` confirms each place. `on_change` is told of each replica whose
  /// calls have changed.
  PlaceWaiter(EntryState& state,
              PlaceAsker& asker,
              std::function<void(const decide::ReplicaState&)> on_change)
      : m_state(state), m_asker(asker), m_on_change(std::move(on_change)) {}

  /// A place for `call` at a replica of `service`; nothing if none came free
  /// until `deadline`, or `Cancel` was called for its ticket.
  Awaitable<std::optional<std::string>> Take(std::string service,
                                             decide::PoolCall call,
                                             TimePoint deadline);
  void Cancel(uint64_t ticket);
  uint64_t NewTicket() { return ++m_last_ticket; }

  /// Gives a place back.
  void Release(const std::string& service,
               const std::string& replica,
               decide::AttemptEnd end);
  /// Starts waiting calls of `service` that have a place now.
  void Wake(const std::string& service);
  void WakeAll();

 private:
  struct Waiter;

  /// Waits until the pool has a place for `call`.
  Awaitable<std::optional<std::string>> TakeOrWait(std::string service,
                                                   decide::PoolCall call,
                                                   TimePoint deadline);

  EntryState& m_state;
  PlaceAsker& m_asker;
  const std::function<void(const decide::ReplicaState&)> m_on_change;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLACE_WAITER_H_
