#ifndef VERBENALEAD_TARGET_SLOT_GRANTER_H_
#define VERBENALEAD_TARGET_SLOT_GRANTER_H_

#include <functional>
#include <map>

#include "decide/slot_queue.h"
#include "links/datagram_socket.h"
#include "target/entry_subscription.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Grants slots at the replica on this host to entries, and sends entries the
/// state of the replica and the calls of the other entries there. Each entry
/// only knows its own calls; without a single granter, several entries would
/// use the same slot. Not safe for concurrent use.
class SlotGranter {
 public:
  /// `engine_update` returns the state of the replica, without its calls.
  SlotGranter(TargetState& state,
              links::DatagramSocket& datagrams,
              std::function<links::ReplicaUpdate()> engine_update)
      : m_state(state),
        m_datagrams(datagrams),
        m_engine_update(std::move(engine_update)) {}

  /// Answers a request for a slot: granted if the replica can take one more
  /// call, else queued or denied.
  void Grant(const Endpoint& entry, const links::SlotRequestMessage& request);
  /// Cancels a queued request for a slot.
  void Withdraw(const Endpoint& entry, uint64_t ticket);
  /// Records the current calls of an entry at the replica.
  void HandleCallReport(const Endpoint& entry, const links::CallUpdate& update);
  /// Subscribes `entry` to updates until `until`.
  void Follow(const Endpoint& entry, TimePoint until);

  /// Sends an update to all subscribed entries, as after a change of the
  /// engine's state.
  void SendToAll();
  /// Sends an update to the subscribed entries for which the state differs from
  /// the last update sent.
  void SendChanges();
  /// Drops the calls of entries that have stopped reporting, grants the slots
  /// that become free, and removes entries without calls and subscription.
  void ExpireSilentEntries(TimePoint now);

  /// The calls of all entries at the replica.
  links::ReplicaCalls Calls() const;

 private:
  /// Takes over what an entry reports of the replica's rate limit, and tells
  /// all entries if it changed.
  void LearnRateLimit(const std::string& replica,
                      const std::optional<links::RateLimitReport>& report,
                      const Endpoint& entry);
  links::ReplicaUpdate UpdateFor(const EntrySubscription& follower) const;
  decide::ReplicaLoad Load() const;
  /// Adds a granted call to the calls of `follower`.
  static void CountGranted(EntrySubscription& follower, uint32_t prompt_tokens);
  /// Grants free slots to queued requests.
  void GrantWaiting();
  /// Sends an update to the subscribed entries that `which` selects.
  template <typename Which>
  void SendUpdates(Which which);

  TargetState& m_state;
  links::DatagramSocket& m_datagrams;
  const std::function<links::ReplicaUpdate()> m_engine_update;
  std::map<Endpoint, EntrySubscription> m_entries;
  decide::SlotQueue m_queue;
  /// Rate limit of the replica, and the id of the replica that it is of: one
  /// that has restarted has another id.
  decide::RateLimit m_rate_limit;
  std::string m_limited_replica;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_SLOT_GRANTER_H_
