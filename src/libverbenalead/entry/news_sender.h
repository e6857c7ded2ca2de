#ifndef VERBENALEAD_ENTRY_NEWS_SENDER_H_
#define VERBENALEAD_ENTRY_NEWS_SENDER_H_

#include <map>
#include <string>

#include "entry/entry_state.h"
#include "links/datagrams.h"

namespace verbenalead::entry {

/// Tells near entries how this one is, and target processes what it has at
/// their replicas. Not safe for concurrent use.
class NewsSender {
 public:
  NewsSender(EntryState& state, links::Datagrams& datagrams)
      : m_state(state), m_datagrams(datagrams) {}

  /// Tells targets what has changed in the calls at their replicas, and at
  /// times all anew. Called every kCallNewsInterval.
  void TellCalls();
  /// Tells one target; `again`: also what it was told before.
  void TellCalls(const decide::ReplicaState& replica, bool again);

  /// Tells the near entries how this one is, at once when it has changed.
  /// `took_over`: this one reads the store since now. Called every
  /// kNewsInterval.
  void TellEntries(bool took_over);
  /// Tells all of them at once.
  void TellAllEntries();
  /// Tells the one whose news came, if it is near and knows nothing: it has
  /// just started and waits for somebody who has the tables.
  void AnswerNewcomer(const links::EntryNews& news);

  /// Asks near targets for their news and tells them which change of weights is
  /// the newest.
  void AskNearTargets();
  /// Tells the far ones of that change, in case that no entry near them can.
  void TellFarTargets();

 private:
  void Broadcast(const links::EntryNews& news);
  /// Tells the targets that are near, or all others, what this entry knows.
  void TellTargets(bool near);
  Endpoint TargetOf(const decide::ReplicaState& replica) const;

  EntryState& m_state;
  links::Datagrams& m_datagrams;
  uint64_t m_call_rounds = 0;
  uint64_t m_news_rounds = 0;
  links::EntryNews m_last_news;
  /// What was told of the calls at each replica.
  std::map<std::string, links::ReplicaCalls> m_told_calls;
};

/// How often targets are told what changed in this entry's calls. In this time
/// 11 calls begin at the users' peak, spread over 9 to 15 replicas of 16
/// places.
inline constexpr Duration kCallNewsInterval = 80ms;
/// How often the other entries may be told how this one is.
inline constexpr Duration kNewsInterval = 100ms;

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_NEWS_SENDER_H_
