#ifndef VERBENALEAD_ENTRY_TOKEN_REQUESTER_H_
#define VERBENALEAD_ENTRY_TOKEN_REQUESTER_H_

#include <map>
#include <memory>
#include <string>

#include "base/awaitable.h"
#include "decide/limits/rate_gate.h"
#include "decide/limits/rate_holder.h"
#include "entry/entry_state.h"
#include "links/datagram_socket.h"

namespace verbenalead::entry {

/// Requests tokens for calls to replicas that name a rate limit and have no
/// target process, and grants them to all entries where this entry holds the
/// token bucket of such a replica.
///
/// If the holder is gone or its answer is lost, no call is sent: the replica
/// asked for relief, other entries may send it all that it takes, and the calls
/// go to other replicas or are refused.
class TokenRequester {
 public:
  TokenRequester(EntryState& state, links::DatagramSocket& datagrams)
      : m_state(state), m_datagrams(datagrams) {}

  /// Whether a call may be sent to `replica` of `service` now. If not, the
  /// replica is held back for a while.
  Awaitable<bool> RequestToken(std::string service, std::string replica);

  /// Answers another entry's request.
  void HandleRequest(const Endpoint& sender,
                     const links::TokenRequest& request);
  /// Handles the answer to a request of this entry.
  void HandleAnswer(const links::TokenAnswer& answer);
  /// Renews the terms of the buckets of cold replicas that this entry holds,
  /// and ends those that it holds no longer. Called every kCallUpdateInterval.
  void ConfirmTerms(TimePoint now);

 private:
  struct PendingRequest;

  /// The decision about one request to a replica whose bucket this entry holds.
  struct Decision {
    bool m_granted = false;
    Duration m_hold_off{};
  };

  /// Host of the entry that holds the bucket of `replica`; "" if none can.
  std::string HolderOf(const decide::ReplicaState& replica) const;
  /// Whether this entry holds the bucket of `replica`, and no majority of the
  /// others takes another one for the holder.
  bool HoldsBucket(const decide::ReplicaState& replica) const;
  Decision Decide(const decide::ReplicaState& replica);
  /// The limit of the calls that the replica takes.
  decide::GateLimit LimitOf(const decide::ReplicaState& replica) const;
  /// Takes over what another entry reports of the replica.
  void Learn(decide::ReplicaState& replica,
             const std::optional<links::RateLimitReport>& limit,
             const std::optional<links::ColdReport>& cold,
             uint64_t started_ms,
             const std::string& source);
  /// Sends a request to `holder` and waits for its answer.
  Awaitable<bool> RequestFrom(std::string holder, std::string replica);
  const std::string& OwnHost() const;

  EntryState& m_state;
  links::DatagramSocket& m_datagrams;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<PendingRequest>> m_pending;
  /// Token buckets that this entry holds, by replica.
  std::map<std::string, decide::RateGate> m_gates;
  /// Terms of those of cold replicas.
  std::map<std::string, decide::HolderTerm> m_terms;
  TimePoint m_terms_confirmed_at{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_TOKEN_REQUESTER_H_
