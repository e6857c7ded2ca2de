#ifndef VERBENALEAD_ENTRY_PLACE_WAITER_H_
#define VERBENALEAD_ENTRY_PLACE_WAITER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/awaitable.h"
#include "entry/entry_state.h"

namespace verbenalead::entry {

/// Lets calls wait for a place at a replica and wakes them.
class PlaceWaiter {
 public:
  explicit PlaceWaiter(EntryState& state) : m_state(state) {}

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

  EntryState& m_state;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLACE_WAITER_H_
