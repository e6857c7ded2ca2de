#include "entry/row_synchroniser.h"

#include "base/boot_clock.h"
#include "base/deflate.h"
#include "base/log.h"
#include "base/spawn.h"
#include "entry/peer_updates.h"
#include "entry/store_return.h"
#include "links/relayed_rows.h"
#include "platform/config_services.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// Time for which the store holds a request for changes of the operator's table
/// open. A quarter of the lease on keys, which each answer renews.
constexpr Duration kOperatorLongPoll = 1200ms;
/// Pace of requests for the table of replicas. A replica that leaves must get
/// no calls 2 s after it announced that.
constexpr links::PollSchedule kReplicaPace = {Duration(), 900ms, Duration(),
                                              false};
/// Pace of requests for both tables while another entry reads for this one:
/// seldom, and only in case the rows of the other entry are wrong. If the store
/// does not answer, a quick retry is not needed.
constexpr Duration kPeerReadsInterval = 300s;
constexpr links::PollSchedule kPeerReadsPace = {Duration(), kPeerReadsInterval,
                                                2s, false};
/// An entry that has just started gets all rows from another one of its data
/// centre within a second. If rows are missing after this time, it reads them
/// from the store.
constexpr Duration kPeerRowsTimeout = 3s;
/// Rows are sent in pieces, each once the one before has been sent, so that
/// responses waiting for a slow link are not buffered as a whole.
constexpr size_t kResponsePieceSize = 16384;

}  // namespace

RowSynchroniser::RowSynchroniser(const boost::asio::any_io_executor& executor,
                                 EntryState& state,
                                 platform::Store& store,
                                 wire::Client& peers,
                                 std::function<void()> on_rows)
    : m_state(state),
      m_peers(peers),
      m_executor(executor),
      m_on_rows(std::move(on_rows)),
      m_intake(state),
      m_operator(
          executor,
          store,
          platform::kOperatorTable,
          [this] { return OperatorPace(); },
          [this](const platform::Rows& rows, bool is_snapshot) {
            m_intake.ApplyOperatorRows(rows, is_snapshot);
            m_on_rows();
          }),
      m_replicas(
          executor,
          store,
          platform::kReplicaTable,
          [this] { return ReplicaPace(); },
          [this](const platform::Rows& rows, bool is_snapshot) {
            m_intake.ApplyReplicaRows(rows, is_snapshot,
                                      m_replicas.regained_at());
            m_on_rows();
          }) {}

void RowSynchroniser::Start() {
  m_cold_start.m_started = Now();
  SpawnLoop(m_executor, m_operator.Run(), "operator_rows");
  SpawnLoop(m_executor, m_replicas.Run(), "replica_rows");
}

void RowSynchroniser::HandleEntriesKnown() {
  decide::RecordRank(m_cold_start, CountListedPredecessors(m_state), Now());
}

bool RowSynchroniser::IsReadDeferred(bool known) const {
  const TimePoint now = Now();
  if (!known) {
    const bool expects_peer_rows =
        m_read_source == decide::ReadSource::kFromPeer &&
        now - m_cold_start.m_started < kPeerRowsTimeout;
    return expects_peer_rows || !decide::MayReadStore(m_cold_start, now);
  }
  return m_read_source == decide::ReadSource::kFromPeer &&
         now - m_peer_reads_since < kPeerReadsInterval;
}

links::PollSchedule RowSynchroniser::OperatorPace() {
  links::PollSchedule schedule = kPeerReadsPace;
  if (m_read_source == decide::ReadSource::kFromStore) {
    // An entry that has just taken over must prove at once that it has the
    // newest revision, so its first request is answered without a wait.
    const bool proved =
        Now() - m_state.m_operator_answered_at < kOperatorLongPoll;
    const Duration interval = decide::IntervalAfterRequest(
        m_operator_pace, m_operator.is_connected(), Now());
    schedule = {proved ? kOperatorLongPoll : Duration(), interval,
                PauseAfterFailure(), false};
    // The first answer that counts as a proof after the store's return is
    // requested as soon as it counts.
    const Duration unsettled =
        decide::TimeUntilSettled(m_state.m_store_era, BootNow());
    if (unsettled > Duration())
      schedule.m_long_poll = std::min(schedule.m_long_poll, unsettled);
  }
  schedule.m_paused = IsReadDeferred(m_state.m_routes != nullptr);
  return schedule;
}

Duration RowSynchroniser::PauseAfterFailure() {
  return decide::PauseAfterFailure(
      CountLivePredecessors(m_state, Now()),
      std::uniform_real_distribution<double>(0, 1)(m_state.m_random));
}

links::PollSchedule RowSynchroniser::ReplicaPace() {
  links::PollSchedule schedule = kPeerReadsPace;
  if (m_read_source == decide::ReadSource::kFromStore) {
    schedule = kReplicaPace;
    schedule.m_retry_pause = PauseAfterFailure();
  }
  // While the store answers for neither table, only the operator's table is
  // requested. Requests for both by 98 entries doubled the number of requests,
  // each of which is charged. If only the operator's rows fail, the table of
  // replicas is still requested.
  schedule.m_paused =
      IsReadDeferred(m_state.m_replicas_known) ||
      (m_operator.connection_lost() && m_replicas.connection_lost());
  return schedule;
}

void RowSynchroniser::Compare() {
  const TimePoint now = Now();
  m_operator.NoteEra(m_state.m_store_era.m_era);
  m_replicas.NoteEra(m_state.m_store_era.m_era);
  m_intake.ReviewGoneReplicas();
  m_intake.ReviewEvacuations();
  m_state.m_store_unavailable =
      m_operator.connection_lost() || m_replicas.connection_lost();
  const PeerEntry* reader = FindStoreReader(m_state, now);
  const decide::ReadSource before = m_read_source;
  m_read_source =
      decide::NextReadSource(m_reader_failover, reader != nullptr,
                             CountLivePredecessors(m_state, now), now);
  if (m_read_source != before) {
    LogLine("reading")
        .With("from", reader ? reader->m_address.m_host
                             : m_state.m_options.m_own_address.m_host)
        .With("waits", m_read_source == decide::ReadSource::kWaiting)
        .Info();
    if (m_read_source == decide::ReadSource::kFromPeer)
      m_peer_reads_since = now;
    if (m_read_source == decide::ReadSource::kFromStore) {
      m_took_over_at = now;
      m_operator.PollNow();
      m_replicas.PollNow();
    }
  }
  const PeerEntry* newer = PickNewerPeer(m_state, now);
  if (newer && !m_fetching_operator && now >= m_next_operator_fetch) {
    Spawn(m_executor, FetchOperatorRows(newer->m_address.m_peers),
          "fetch_operator_rows");
  }
  if (reader)
    CompareReplicas(*reader);
}

void RowSynchroniser::CompareReplicas(const PeerEntry& reader) {
  const TimePoint now = Now();
  if (reader.m_replicas_hash == m_state.m_replicas_hash) {
    m_state.m_replicas_confirmed_at = now;
  } else if (!m_fetching_replicas && now >= m_next_replica_fetch) {
    const PeerEntry& source = PickReplicaListPeer(m_state, reader, now);
    Spawn(m_executor, FetchReplicaRows(source.m_address.m_peers),
          "fetch_replica_rows");
  }
}

bool RowSynchroniser::ConsumeTakeover() {
  if (!m_took_over_at || m_state.m_operator_answered_at < *m_took_over_at ||
      m_state.m_replicas_confirmed_at < *m_took_over_at)
    return false;
  m_took_over_at.reset();
  return true;
}

bool RowSynchroniser::IsDeferred(const Failure& failure,
                                 TimePoint& next_request_at) {
  if (failure.m_code != FailureCode::kRefused)
    return false;
  LogLine("rows_put_off").With(failure).Info();
  next_request_at = Now() + decide::DeferralDelay(m_state.m_random);
  return true;
}

Awaitable<void> RowSynchroniser::FetchOperatorRows(Endpoint from) {
  m_fetching_operator = true;
  const decide::BurstPacer before = m_operator_fetch_pace;
  m_next_operator_fetch =
      Now() + decide::RecordRequest(m_operator_fetch_pace, Now());
  const auto relayed =
      co_await links::FetchRows(m_peers, from, links::kOperatorRowsPath, true);
  m_fetching_operator = false;
  if (!relayed && IsDeferred(relayed.error(), m_next_operator_fetch)) {
    m_operator_fetch_pace = before;
    co_return;
  }
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Warn();
    m_operator.PollNow();
    co_return;
  }
  m_intake.ApplyRelayedOperatorRows(*relayed);
  m_operator.SkipTo(relayed->m_rows.m_revision);
  m_on_rows();
}

Awaitable<void> RowSynchroniser::FetchReplicaRows(Endpoint from) {
  m_fetching_replicas = true;
  const decide::BurstPacer before = m_replica_fetch_pace;
  m_next_replica_fetch =
      Now() + decide::RecordRequest(m_replica_fetch_pace, Now());
  const auto relayed =
      co_await links::FetchRows(m_peers, from, links::kReplicaRowsPath, true);
  m_fetching_replicas = false;
  if (!relayed && IsDeferred(relayed.error(), m_next_replica_fetch)) {
    m_replica_fetch_pace = before;
    co_return;
  }
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Warn();
    m_replicas.PollNow();
    co_return;
  }
  if (!m_intake.ApplyRelayedReplicaRows(*relayed))
    co_return;
  m_replicas.SkipTo(relayed->m_rows.m_revision);
  m_on_rows();
}

std::shared_ptr<const std::string> RowSynchroniser::EncodedRowsFor(
    const std::string& path) {
  const bool replicas = path == links::kReplicaRowsPath;
  const bool known =
      replicas ? m_state.m_replicas_known
               : m_state.m_routes && (path == links::kTargetRowsPath ||
                                      path == links::kOperatorRowsPath);
  if (!known)
    return nullptr;
  const model::Revision revision =
      replicas ? m_intake.replicas_revision() : m_state.m_operator_revision;
  const uint64_t generation =
      replicas ? m_intake.replica_generation() : m_intake.operator_generation();
  EncodedRows& encoded = m_encoded_rows[path];
  if (encoded.m_text && encoded.m_revision == revision &&
      encoded.m_generation == generation)
    return encoded.m_text;
  std::map<std::string, platform::Row> rows =
      replicas ? m_intake.replica_rows() : m_intake.operator_rows();
  if (path == links::kTargetRowsPath) {
    std::string& config = rows[platform::kConfigKey].m_value;
    config = platform::ServicesOnly(config);
  }
  const model::Revision followed = replicas ? revision : m_operator.revision();
  encoded.m_revision = revision;
  encoded.m_generation = generation;
  encoded.m_text =
      std::make_shared<const std::string>(Deflate(links::EncodeRows(
          rows, followed,
          replicas ? links::EarliestWriteTimes() : m_intake.seen())));
  return encoded.m_text;
}

bool RowSynchroniser::MaySendRows(const wire::Request& request,
                                  uint64_t bytes) {
  return !request.m_headers.contains(links::kMayBeDeferred) ||
         decide::TryAdmitTransfer(m_row_transfers, bytes, Now());
}

links::RelayMetadata RowSynchroniser::MetadataOfRows() const {
  links::RelayMetadata facts;
  facts.m_sent_at = BootNow();
  const model::StoreTime& proof = m_state.m_newest_proof;
  if (proof.m_era == m_operator.revision().m_era) {
    facts.m_confirmed_at = proof.m_time;
    if (const auto proved_at = decide::ToLocal(m_state.m_store_clock, proof))
      facts.m_proof_age = std::max(Duration(), facts.m_sent_at - *proved_at);
  }
  const TimePoint regained_at =
      std::max(m_replicas.regained_at(), StoreReturnedAt(m_state));
  if (regained_at != TimePoint())
    facts.m_store_regained_ago = Now() - regained_at;
  return facts;
}

Awaitable<void> RowSynchroniser::ServeRows(const wire::Request& request,
                                           wire::ResponseWriter& caller) {
  const std::shared_ptr<const std::string> text =
      EncodedRowsFor(request.m_path);
  if (!text) {
    co_await caller.Send(wire::JsonResponse(404, "{}"));
    co_return;
  }
  if (!MaySendRows(request, text->size())) {
    m_state.m_metrics.Count("rows_put_off_total", "");
    co_await caller.Send(wire::JsonResponse(503, "{}"));
    co_return;
  }
  wire::ResponseHead head(200, links::EncodeRelayMetadata(MetadataOfRows()));
  if (!co_await caller.Start(std::move(head)))
    co_return;
  for (size_t begin = 0; begin < text->size(); begin += kResponsePieceSize) {
    if (!co_await caller.Write(text->substr(begin, kResponsePieceSize)))
      co_return;
  }
  co_await caller.Finish({});
}

}  // namespace verbenalead::entry
