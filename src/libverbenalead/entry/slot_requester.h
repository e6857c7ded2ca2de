#ifndef VERBENALEAD_ENTRY_SLOT_REQUESTER_H_
#define VERBENALEAD_ENTRY_SLOT_REQUESTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "entry/token_requester.h"
#include "links/datagram_socket.h"

namespace verbenalead::entry {

/// Requests slots at replicas from the target processes on their hosts. A slot
/// is capacity for one call.
///
/// Load: 28 calls start within 0.2 s at the peak. Harm: an entry's view of the
/// other entries' calls is up to 0.2 s old, so without a request all entries
/// send their calls of that time to the replica that looked least loaded, and
/// overload it. The target process counts the calls of all entries, and a
/// request to it takes one round trip of 0.4 to 4 ms.
class SlotRequester {
 public:
  SlotRequester(EntryState& state, links::DatagramSocket& datagrams)
      : m_state(state), m_datagrams(datagrams), m_tokens(state, datagrams) {}

  /// Whether the target grants `call` a slot at `replica`. If the target
  /// doesn't answer, its replica stays in use: the result is true, as this
  /// entry has already chosen the replica by its own view, and no requests are
  /// sent to the target for a while. A replica with a rate limit isn't used
  /// then, because only the target knows what other entries send there.
  ///
  /// For a replica without a target, whether its rate limit, if it has one,
  /// lets the call through.
  Awaitable<bool> RequestSlot(std::string service,
                              std::string replica,
                              decide::PoolCall call);
  /// Queues `call` at the target of `replica` until `until`. Returns the id
  /// that a grant will carry, or nothing if the call cannot be queued there.
  std::optional<uint64_t> Reserve(const std::string& service,
                                  const std::string& replica,
                                  const decide::PoolCall& call,
                                  TimePoint until);
  /// Removes the call from the queue of the target.
  void Withdraw(uint64_t reservation);
  /// Sets the handlers of targets' answers to reservations. `on_granted` is
  /// called with the reservation when a target grants a slot to a queued call;
  /// `on_unneeded_grant` with the replica when a target grants a slot for which
  /// no call waits any more; `on_rejected` with the reservation when a target
  /// doesn't queue the call, or no longer does.
  void SetReservationHandlers(
      std::function<void(uint64_t reservation)> on_granted,
      std::function<void(const std::string& replica)> on_unneeded_grant,
      std::function<void(uint64_t reservation)> on_rejected) {
    m_granted = std::move(on_granted);
    m_on_unneeded_grant = std::move(on_unneeded_grant);
    m_on_rejected = std::move(on_rejected);
  }
  /// Replica of a reservation; empty: it was withdrawn or has ended.
  std::string ReplicaOfReservation(uint64_t reservation) const;

  /// Tokens of the rate limits of replicas without a target.
  TokenRequester& tokens() { return m_tokens; }

  /// Handles a target's answer to RequestSlot() or Reserve(), or a later grant.
  void HandleAnswer(const links::SlotAnswer& answer);

 private:
  struct PendingRequest;

  /// Address of the target process on the host of `replica`.
  Endpoint TargetOf(const decide::ReplicaState& replica) const;
  /// Whether `replica` is used although its target doesn't answer.
  bool MayUseWithoutTarget(const decide::ReplicaPool& pool,
                           decide::ReplicaState& replica);
  links::SlotRequestMessage RequestFor(const decide::ReplicaState& replica,
                                       const decide::PoolCall& call);

  EntryState& m_state;
  links::DatagramSocket& m_datagrams;
  TokenRequester m_tokens;
  uint64_t m_last_ticket = 0;
  /// Requests of RequestSlot() that wait for an answer, by ticket.
  std::map<uint64_t, std::shared_ptr<PendingRequest>> m_pending_requests;
  /// Replica and target of the calls queued at targets, by reservation.
  std::map<uint64_t, std::pair<std::string, Endpoint>> m_reservations;
  std::function<void(uint64_t)> m_granted;
  std::function<void(const std::string&)> m_on_unneeded_grant;
  std::function<void(uint64_t)> m_on_rejected;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SLOT_REQUESTER_H_
