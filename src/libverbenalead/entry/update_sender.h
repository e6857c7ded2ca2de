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
class NewsSender {
 public:
  NewsSender(EntryState& state, links::Datagrams& datagrams)
      : m_state(state), m_datagrams(datagrams) {}

  /// Sends targets the changes in this entry's calls at their replicas, and at
  /// intervals resends all of them. Called every kCallNewsInterval.
  void TellCalls();
  /// Sends the calls at one replica to its target; with `resend`, also if they
  /// have not changed since the last update.
  void TellCalls(const decide::ReplicaState& replica, bool resend);

  /// Sends this entry's state to the entries of its data centre: at once if it
  /// has changed, else at intervals. `took_over`: this entry has just taken
  /// over reading the store. Called every kNewsInterval.
  void TellEntries(bool took_over);
  /// Sends this entry's state to all entries of its data centre now.
  void TellAllEntries();
  /// Sends this entry's state to the sender of `update` if that is in the same
  /// data centre and has no rows yet: it has just started and waits for an
  /// entry from which it can fetch the tables.
  void AnswerNewcomer(const links::EntryNews& update);

  /// Requests updates from the targets of this data centre, and sends them the
  /// newest revision of declared weights.
  void AskNearTargets();
  /// Sends that revision to the targets of other data centres, in case no entry
  /// of their own data centre can.
  void TellFarTargets();

 private:
  void Broadcast(const links::EntryNews& update);
  /// Sends a follow request to the targets of this data centre (`near`) or to
  /// those of all others.
  void TellTargets(bool near);
  Endpoint TargetOf(const decide::ReplicaState& replica) const;

  EntryState& m_state;
  links::Datagrams& m_datagrams;
  uint64_t m_call_rounds = 0;
  uint64_t m_news_rounds = 0;
  links::EntryNews m_last_news;
  /// The calls last reported for each replica, by replica id.
  std::map<std::string, links::ReplicaCalls> m_told_calls;
};

/// Interval of updates to targets about changes in this entry's calls. At the
/// users' peak load 11 calls begin in this time, spread over 9 to 15 replicas
/// of 16 slots.
inline constexpr Duration kCallNewsInterval = 80ms;
/// Least interval of updates to the other entries about this entry's state.
inline constexpr Duration kNewsInterval = 100ms;

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_UPDATE_SENDER_H_
