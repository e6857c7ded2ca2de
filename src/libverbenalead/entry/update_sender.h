#ifndef VERBENALEAD_ENTRY_UPDATE_SENDER_H_
#define VERBENALEAD_ENTRY_UPDATE_SENDER_H_

#include <map>
#include <string>

#include "entry/entry_state.h"
#include "links/datagram_socket.h"

namespace verbenalead::entry {

/// Sends the state of this entry to the other entries of its data centre, and
/// its calls at each replica to the replica's target process. Without these
/// updates an entry would be taken for dead, and replicas would be filled
/// beyond their slots by entries that do not see each other's calls. Not safe
/// for concurrent use.
class UpdateSender {
 public:
  UpdateSender(EntryState& state, links::DatagramSocket& datagrams)
      : m_state(state), m_datagrams(datagrams) {}

  /// Sends targets the changes in this entry's calls at their replicas, and at
  /// intervals resends all of them. Called every kCallUpdateInterval.
  void NotifyCalls();
  /// Sends the calls at one replica to its target; with `resend`, also if they
  /// have not changed since the last update.
  void NotifyCalls(const decide::ReplicaState& replica, bool resend);

  /// Sends this entry's state to the entries of its data centre: at once if it
  /// has changed, else at intervals. `took_over`: this entry has just taken
  /// over reading the store. Called every kUpdateSendInterval.
  void NotifyEntries(bool took_over);
  /// Sends this entry's state to all entries of its data centre now.
  void NotifyAllEntries();
  /// Sends this entry's state to the sender of `update` if that is in the same
  /// data centre and has no rows yet: it has just started and waits for an
  /// entry from which it can fetch the tables.
  void NotifyStartingEntry(const links::EntryUpdate& update);

  /// Requests updates from the targets of this data centre, and sends them the
  /// newest revision of declared weights.
  void RequestLocalUpdates();
  /// Sends that revision to the targets of other data centres, in case no entry
  /// of their own data centre can.
  void NotifyRemoteTargets();

 private:
  void Broadcast(const links::EntryUpdate& update);
  /// Sends a subscription request to the targets of this data centre
  /// (`same_data_center`) or to those of all others.
  void SendFollowRequests(bool same_data_center);
  Endpoint TargetOf(const decide::ReplicaState& replica) const;

  EntryState& m_state;
  links::DatagramSocket& m_datagrams;
  uint64_t m_call_rounds = 0;
  uint64_t m_update_rounds = 0;
  links::EntryUpdate m_last_update;
  /// The calls last reported for each replica, by replica id.
  std::map<std::string, links::ReplicaCalls> m_sent_calls;
};

/// Interval of updates to targets about changes in this entry's calls. At the
/// users' peak load 11 calls begin in this time, spread over 9 to 15 replicas
/// of 16 slots.
inline constexpr Duration kCallUpdateInterval = 80ms;
/// Least interval of updates to the other entries about this entry's state.
inline constexpr Duration kUpdateSendInterval = 100ms;

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_UPDATE_SENDER_H_
