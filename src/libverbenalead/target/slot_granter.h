#ifndef VERBENALEAD_TARGET_SLOT_GRANTER_H_
#define VERBENALEAD_TARGET_SLOT_GRANTER_H_

#include <functional>
#include <map>

#include "decide/admission/slot_queue.h"
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
  /// engine's state. Rejects the queued requests if the replica is leaving.
  void SendToAll();
  /// Sends an update to the subscribed entries for which the state differs from
  /// the last update sent.
  void SendChanges();
  /// Drops the calls of entries that have stopped reporting, grants the slots
  /// that become free, and removes entries without calls and subscription.
  void ExpireSilentEntries(TimePoint now);

  /// The calls of all entries at the replica.
  links::ReplicaCalls Calls() const;
  /// Number of queued requests.
  uint32_t waiting() const {
    return static_cast<uint32_t>(m_queue.m_slot_requests.size());
  }

 private:
  /// Takes over what an entry reports of the replica's statements, and tells
  /// all entries if they changed.
  void LearnStatements(const std::string& replica,
                       const links::StatementReport& report,
                       const Endpoint& entry);
  /// Takes over which incarnation of the replica runs and how long it is cold,
  /// by its row and its own report, and sets the limit of the calls that it
  /// takes. Called before any decision.
  void Refresh();
  /// Forgets what was known of the replica if these name another incarnation.
  void SetIncarnation(const std::string& replica, uint64_t started_ms);
  /// Logs a change of the replica's cold time and exports whether it is cold.
  void ReportCold();
  /// These return whether the report is news.
  bool LearnRateLimit(const links::RateLimitReport& report,
                      const Endpoint& entry);
  bool LearnCold(const decide::ColdState& cold);
  bool LearnLeaving(uint64_t started_ms, const Endpoint& entry);
  /// Whether the replica is leaving, as entries or the engine itself state. It
  /// is granted no more calls.
  bool IsLeaving() const;
  /// Rejects all queued requests, so that their entries ask other targets at
  /// once.
  void RejectWaiting();
  links::ReplicaUpdate UpdateFor(const EntrySubscription& follower) const;
  decide::ReplicaLoad Load() const;
  /// Adds a granted call to the calls of `follower`.
  static void CountGranted(EntrySubscription& follower, uint32_t prompt_tokens);
  /// Denies the queued requests whose turn can't come in their time any more.
  void DenyDisplaced(TimePoint now);
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
  /// Statements of the replica, and the incarnation that made them.
  decide::KnownStatements m_known;
  std::string m_known_replica;
  uint64_t m_known_started_ms = 0;
  /// The start that the engine or its row named last.
  uint64_t m_seen_started_ms = 0;
  /// End of the cold time that was logged last; the default: it was warm.
  TimePoint m_cold_logged_until{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_SLOT_GRANTER_H_
