#ifndef VERBENALEAD_TARGET_ROW_SOURCE_H_
#define VERBENALEAD_TARGET_ROW_SOURCE_H_

#include <vector>

#include "decide/change_source.h"
#include "links/follow_request.h"
#include "links/relayed_rows.h"
#include "links/table_follower.h"
#include "platform/store.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Brings a target process what it needs of the operator's table, and the list
/// of replicas: from an entry that tells them, or from the store where none
/// does. Not safe for concurrent use.
class RowSource {
 public:
  /// `store` and `entries` outlive this.
  RowSource(const boost::asio::any_io_executor& executor,
            TargetState& state,
            platform::Store& store,
            wire::Client& entries);

  void Start();

  /// An entry tells what it knows.
  void TakeTold(const Endpoint& entry, const links::FollowRequest& request);
  /// The entry knows another list of replicas.
  void FetchReplicas(const Endpoint& entry);

 private:
  /// Finds entries by their rows in the store, and takes over from one of them.
  Awaitable<void> LearnFirst();
  /// Entries of this data centre, in any order.
  Awaitable<std::vector<Endpoint>> NearEntries();
  /// Takes over from `entry`; false: it can't tell. `with_replicas`: its list
  /// of replicas as well.
  Awaitable<bool> TakeOver(Endpoint entry, bool with_replicas);
  Awaitable<void> TakeOverOnce(Endpoint entry, bool with_replicas);
  Awaitable<void> TakeOverReplicas(Endpoint entry);
  void TakeOperatorRows(const platform::Rows& rows,
                        const std::map<std::string, Duration>& ages);
  links::FollowPace Pace() const;
  /// The replica on this host has no engine, so that this process has nothing
  /// to do and needs neither weights nor the list of replicas.
  ///
  /// Failure: no entry tells such a process anything. Symptom: it reads both
  /// tables from the store after each start, 1 MB where there are 3,000
  /// replicas, over the links that entries need then.
  bool IsIdle() const;

  TargetState& m_state;
  platform::Store& m_store;
  wire::Client& m_entries;
  const boost::asio::any_io_executor m_executor;
  links::TableFollower m_operator_rows;
  links::TableFollower m_replica_rows;
  decide::ChangeWatch m_changes;
  /// 0 to 1: when this host turns to the store, among those that start with it.
  const double m_spread;
  bool m_fetching = false;
  TimePoint m_next_replicas{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ROW_SOURCE_H_
