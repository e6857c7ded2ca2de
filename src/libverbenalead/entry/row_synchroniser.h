#ifndef VERBENALEAD_ENTRY_ROW_SYNCHRONISER_H_
#define VERBENALEAD_ENTRY_ROW_SYNCHRONISER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decide/store/cold_start.h"
#include "decide/store/poll_pace.h"
#include "decide/store/reader_failover.h"
#include "decide/store/row_transfer_limit.h"
#include "entry/entry_state.h"
#include "entry/row_applier.h"
#include "links/table_follower.h"
#include "platform/store.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Keeps the rows of the operator's table and of the table of replicas current.
/// Reads them from the store, or fetches them from the entry of the same data
/// centre that reads the store (see FindStoreReader), and serves them to other
/// entries and to targets.
class RowSynchroniser {
 public:
  /// `on_rows` is called after rows have been applied. `store` and `peers`
  /// outlive this.
  RowSynchroniser(const boost::asio::any_io_executor& executor,
                  EntryState& state,
                  platform::Store& store,
                  wire::Client& peers,
                  std::function<void()> on_rows);

  /// Starts to follow both tables. An entry that has just started delays its
  /// own reads while it may get the rows from others.
  void Start();

  /// Fetches rows that other entries of this data centre have in a newer
  /// revision, and switches to reading the store if none of them reads it.
  /// Called after each of their updates and ten times a second.
  void Compare();

  /// The entries of this data centre have been read from the store.
  void HandleEntriesKnown();

  /// Returns true once after this entry has taken over reading and the store
  /// has answered: the other entries wait for these rows.
  bool ConsumeTakeover();

  /// Whether this entry reads the store itself rather than the rows of another
  /// entry.
  bool reads_store() const {
    return m_read_source == decide::ReadSource::kFromStore;
  }

  /// Responds to entries and targets of this data centre that fetch rows.
  Awaitable<void> ServeRows(const wire::Request& request,
                            wire::ResponseWriter& caller);

  RowApplier& intake() { return m_intake; }

 private:
  /// Encoded and compressed rows, as sent in responses.
  struct EncodedRows {
    /// Revision and generation of the rows when they were encoded.
    model::Revision m_revision;
    uint64_t m_generation = 0;
    std::shared_ptr<const std::string> m_text;
  };

  static constexpr uint32_t kBurst = 5;
  static constexpr Duration kInterval = 400ms;

  links::PollSchedule OperatorPace();
  links::PollSchedule ReplicaPace();
  /// Pause of this entry after a request that the store did not answer.
  Duration PauseAfterFailure();
  /// Whether the store need not be read now, because another entry is expected
  /// to supply the rows. `known`: rows of the table have been applied here
  /// before.
  bool IsReadDeferred(bool known) const;
  /// Returns the encoded rows for `path`, or null if they are not known yet or
  /// there is no such path.
  std::shared_ptr<const std::string> EncodedRowsFor(const std::string& path);
  void CompareReplicas(const PeerEntry& reader);
  /// What is sent beside rows.
  links::RelayMetadata MetadataOfRows() const;
  /// Whether `bytes` of rows may be sent now in response to `request`.
  bool MaySendRows(const wire::Request& request, uint64_t bytes);
  /// Whether `failure` means that the other entry has deferred the request for
  /// rows. If so, sets `next_request_at` to the time of the next request.
  bool IsDeferred(const Failure& failure, TimePoint& next_request_at);
  Awaitable<void> FetchOperatorRows(Endpoint from);
  Awaitable<void> FetchReplicaRows(Endpoint from);

  EntryState& m_state;
  wire::Client& m_peers;
  const boost::asio::any_io_executor m_executor;
  const std::function<void()> m_on_rows;
  RowApplier m_intake;
  links::TableFollower m_operator;
  links::TableFollower m_replicas;
  decide::ReaderFailover m_reader_failover;
  decide::ReadSource m_read_source = decide::ReadSource::kFromStore;
  /// When this entry took over reading, until ConsumeTakeover() has reported
  /// it.
  std::optional<TimePoint> m_took_over_at;
  decide::ColdStart m_cold_start;
  /// Another entry has read the store for this one at least since this time.
  TimePoint m_peer_reads_since{};
  /// The rows last encoded, by path: 14 other entries fetch the same 390 KB.
  std::map<std::string, EncodedRows> m_encoded_rows;
  decide::RowTransferLimit m_row_transfers;
  bool m_fetching_operator = false;
  bool m_fetching_replicas = false;
  /// Changes in quick succession are read from the store together, and fetched
  /// together: five changes a second of 100 KB use a seventh of the link to the
  /// store, and the reading entry sends each to 14 others. They must be in
  /// force after 2 s.
  decide::BurstPacer m_operator_pace{kBurst, kInterval};
  decide::BurstPacer m_operator_fetch_pace{kBurst, kInterval};
  decide::BurstPacer m_replica_fetch_pace{kBurst, kInterval};
  TimePoint m_next_operator_fetch{};
  TimePoint m_next_replica_fetch{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ROW_SYNCHRONISER_H_
