#ifndef VERBENALEAD_TARGET_ROW_SOURCE_H_
#define VERBENALEAD_TARGET_ROW_SOURCE_H_

#include <vector>

#include "decide/store/announcement_tracker.h"
#include "links/relayed_rows.h"
#include "links/subscription_request.h"
#include "links/table_follower.h"
#include "platform/store.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Keeps the rows of the operator's table and the list of replicas of a target
/// process up to date. They are read from an entry that announces them, or from
/// the store if no entry does: if each target process read them from the store,
/// the store's links would be full for seconds. Not safe for concurrent use.
class RowSource {
 public:
  /// `store` and `entries` must outlive this object.
  RowSource(const boost::asio::any_io_executor& executor,
            TargetState& state,
            platform::Store& store,
            wire::Client& entries);

  void Start();

  /// Handles an announcement of the revisions that `entry` knows; reads its
  /// rows if they are newer.
  void HandleAnnouncement(const Endpoint& entry,
                          const links::SubscriptionRequest& request);
  /// Reads the list of replicas from `entry`, whose list differs from the one
  /// known here. Calls in quick succession are dropped.
  void RequestReplicaRows(const Endpoint& entry);

 private:
  /// Runs after the start until the rows are known: finds entries by their rows
  /// in the store, and reads the operator's rows and the list of replicas from
  /// one of them.
  Awaitable<void> ReadInitialRows();
  /// Logs which tables a start still waits for, at a bounded rate.
  void LogStartWaits();
  /// The entries of this data centre, in random order.
  Awaitable<std::vector<Endpoint>> LocalEntries();
  /// Reads the operator's rows from `entry`; returns false if that failed.
  /// `with_replicas`: reads the list of replicas as well.
  Awaitable<bool> ReadRows(Endpoint entry, bool with_replicas);
  /// As `ReadRows`, with `m_fetching` set meanwhile so that announcements do
  /// not start a second read.
  Awaitable<void> ReadRowsExclusively(Endpoint entry, bool with_replicas);
  Awaitable<void> ReadReplicaRows(Endpoint entry);
  void ApplyOperatorRows(const platform::Rows& rows,
                         const std::map<std::string, Duration>& ages);
  links::PollSchedule Pace() const;
  /// Whether the replica on this host has no engine. This process then has
  /// nothing to do and needs neither weights nor the list of replicas.
  ///
  /// Entries send no announcements to such a process. Without this check it
  /// would read both tables from the store after each start, 1 MB with 3,000
  /// replicas, over links that entries need at that time.
  bool IsIdle() const;

  TargetState& m_state;
  platform::Store& m_store;
  wire::Client& m_entries;
  const boost::asio::any_io_executor m_executor;
  links::TableFollower m_operator_rows;
  links::TableFollower m_replica_rows;
  decide::AnnouncementTracker m_changes;
  /// Random value from 0 to 1 that spreads the reads from the store of hosts
  /// that start at the same time.
  const double m_start_jitter;
  TimePoint m_next_wait_line{};
  /// A read that an announcement started is in progress.
  bool m_fetching = false;
  /// Earliest time of the next read of the list of replicas on request.
  TimePoint m_next_replica_read{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ROW_SOURCE_H_
