#ifndef VERBENALEAD_ENTRY_SLOT_ALLOCATOR_H_
#define VERBENALEAD_ENTRY_SLOT_ALLOCATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "entry/slot_requester.h"

namespace verbenalead::entry {

/// Obtains slots (capacity for one call each) at replicas for calls. A call for
/// which no slot is free waits until one is released here or a target grants
/// one.
class SlotAllocator {
 public:
  /// `slot_requester` confirms each slot with the target of its replica.
  /// `on_change` is called with each replica at which this entry's calls have
  /// changed, so that its target can be notified.
  SlotAllocator(EntryState& state,
                SlotRequester& slot_requester,
                std::function<void(const decide::ReplicaState&)> on_change);

  /// Obtains a slot for `call` and returns the replica of `service`; nothing if
  /// no slot came free until `deadline`, or Cancel() was called for its ticket.
  Awaitable<std::optional<std::string>> Acquire(std::string service,
                                                decide::PoolCall call,
                                                TimePoint deadline);
  /// Ends the wait of the call with this ticket without a slot.
  void Cancel(uint64_t ticket);
  uint64_t NewTicket() { return ++m_last_ticket; }

  /// Called when the replica has begun to answer a call: its prompt has been
  /// read and no longer delays other calls at that replica.
  void NotePromptRead(const std::string& service,
                      const std::string& replica,
                      uint32_t prompt_tokens);
  /// Releases a slot and wakes waiting calls.
  void Release(const std::string& service,
               const std::string& replica,
               decide::AttemptEnd end);
  /// Starts the waiting calls of `service` for which slots are free now.
  void Wake(const std::string& service);
  void WakeAll();

 private:
  struct Waiter;

  /// A slot assigned to a call.
  struct Slot {
    std::string m_replica;
    /// The target has granted it. False: it has yet to be requested from the
    /// target.
    bool m_granted = false;
  };

  /// Takes a slot of the pool that is free by this entry's own view, or waits
  /// until one comes free or a target grants one.
  Awaitable<std::optional<Slot>> AcquireOrWait(std::string service,
                                               decide::PoolCall call,
                                               TimePoint deadline);
  /// Also queues `call` at targets, which know of free slots sooner.
  void Reserve(const std::string& service,
               const decide::PoolCall& call,
               TimePoint deadline);
  void WithdrawReservations(uint64_t ticket);
  /// Called when a target has granted a slot to a call queued there.
  void HandleGrant(uint64_t reservation);
  /// Called when a target doesn't queue a call. If its replica wants no calls,
  /// the call is queued at another one.
  void HandleRejection(uint64_t reservation);
  /// Removes a reservation that its target denied. If it was the call's last
  /// one and no free slot is known, ends the wait.
  void DropDenied(Waiter& waiter, uint64_t ticket, uint64_t reservation);
  bool IsLoading(const std::string& service, const std::string& replica) const;
  /// Queues a waiting call, which has no reservation, at other targets.
  void ReserveAgain(const std::string& service, uint64_t ticket);
  /// Moves the waiting calls of `service` away from replicas that want no calls
  /// any more, and ends their wait if no replica does.
  ///
  /// Failure: a replica states that it is leaving, or asks for a rest, while
  /// calls wait for its slots. Symptom: they wait until their time is over,
  /// although other replicas have room, or none will. The target of a leaving
  /// replica rejects the calls queued there, but one that is silent doesn't,
  /// and a rest is told to this entry alone.
  void LeaveUnwantedReplicas(const std::string& service);
  /// Withdraws the reservations of a call at replicas that want no calls, and
  /// makes new ones if it has no other.
  void MoveReservations(const std::string& service, uint64_t ticket);
  /// Returns a granted slot whose call has a slot elsewhere or has ended, so
  /// that the target can grant it to the next call.
  void ReturnUnneededGrant(const std::string& replica);
  /// Sends the target of `replica` this entry's current calls there.
  void NotifyCalls(const std::string& service, const std::string& replica);

  EntryState& m_state;
  SlotRequester& m_slot_requester;
  const std::function<void(const decide::ReplicaState&)> m_on_change;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
  /// Reservations at targets by the call's ticket.
  std::map<uint64_t, std::vector<uint64_t>> m_reservations;
  /// The call's ticket by reservation.
  std::map<uint64_t, uint64_t> m_ticket_by_reservation;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SLOT_ALLOCATOR_H_
