#ifndef VERBENALEAD_ENTRY_PLACE_WAITER_H_
#define VERBENALEAD_ENTRY_PLACE_WAITER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
              std::function<void(const decide::ReplicaState&)> on_change);

  /// A place for `call` at a replica of `service`; nothing if none came free
  /// until `deadline`, or `Cancel` was called for its ticket.
  Awaitable<std::optional<std::string>> Take(std::string service,
                                             decide::PoolCall call,
                                             TimePoint deadline);
  void Cancel(uint64_t ticket);
  uint64_t NewTicket() { return ++m_last_ticket; }

  /// The call at `replica` has begun to answer: its prompt is read, and others
  /// may be placed behind it.
  void NoteBegun(const std::string& service,
                 const std::string& replica,
                 uint32_t prompt_tokens);
  /// Gives a place back.
  void Release(const std::string& service,
               const std::string& replica,
               decide::AttemptEnd end);
  /// Starts waiting calls of `service` that have a place now.
  void Wake(const std::string& service);
  void WakeAll();

 private:
  struct Waiter;

  /// A place that a call has got.
  struct Place {
    std::string m_replica;
    /// Its target has granted it; else it has to be asked yet.
    bool m_granted = false;
  };

  /// Waits until the pool has a place for `call`, or a target grants one.
  Awaitable<std::optional<Place>> TakeOrWait(std::string service,
                                             decide::PoolCall call,
                                             TimePoint deadline);
  /// Lets `call` wait at targets too.
  void Reserve(const std::string& service,
               const decide::PoolCall& call,
               TimePoint deadline);
  void WithdrawAll(uint64_t ticket);
  /// A target has granted a place to a call that waits there.
  void TakeGrant(uint64_t reservation);
  /// The call for which a place was granted has one elsewhere, or has left: the
  /// next one may have it.
  void ReturnGrant(const std::string& replica);
  /// Tells the target of `replica` what is there now.
  void TellCalls(const std::string& service, const std::string& replica);

  EntryState& m_state;
  PlaceAsker& m_asker;
  const std::function<void(const decide::ReplicaState&)> m_on_change;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
  /// Reservations by the call's ticket, and the call's ticket by reservation.
  std::map<uint64_t, std::vector<uint64_t>> m_reservations;
  std::map<uint64_t, uint64_t> m_reserved_for;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLACE_WAITER_H_
