#ifndef VERBENALEAD_TARGET_PLACE_GRANTER_H_
#define VERBENALEAD_TARGET_PLACE_GRANTER_H_

#include <functional>
#include <map>

#include "decide/place_queue.h"
#include "links/datagrams.h"
#include "target/entry_follower.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Grants entries places at the replica on this host, and tells them how it is
/// and what the others have there. Not safe for concurrent use.
class PlaceGranter {
 public:
  /// `engine_news` tells how the replica is, but for its calls.
  PlaceGranter(TargetState& state,
               links::Datagrams& datagrams,
               std::function<links::ReplicaNews()> engine_news)
      : m_state(state),
        m_datagrams(datagrams),
        m_engine_news(std::move(engine_news)) {}

  /// Grants a place if the replica has room for one more call, or lets it wait.
  void Grant(const Endpoint& entry, const links::PlaceRequest& request);
  /// An entry doesn't want a place any more.
  void Withdraw(const Endpoint& entry, uint64_t ticket);
  /// What an entry has at the replica now.
  void TakeCalls(const Endpoint& entry, const links::CallNews& news);
  /// `entry` wants to be told until then.
  void Follow(const Endpoint& entry, TimePoint until);

  /// The engine's state has changed: all who follow have to know at once.
  void TellAll();
  /// Tells those who follow what has changed for them.
  void TellChanges();
  /// Forgets entries that went away, and what they had here.
  void ForgetSilent(TimePoint now);

  /// What all entries together have at the replica.
  links::ReplicaCalls Calls() const;

 private:
  links::ReplicaNews NewsFor(const EntryFollower& follower) const;
  decide::ReplicaLoad Load() const;
  /// Counts one call more for `follower`.
  static void CountGranted(EntryFollower& follower, uint32_t prompt_tokens);
  /// Grants places that are free to calls that wait.
  void GrantWaiting();
  /// Tells the followers that `which` picks.
  template <typename Which>
  void Tell(Which which);

  TargetState& m_state;
  links::Datagrams& m_datagrams;
  const std::function<links::ReplicaNews()> m_engine_news;
  std::map<Endpoint, EntryFollower> m_entries;
  decide::PlaceQueue m_queue;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_PLACE_GRANTER_H_
