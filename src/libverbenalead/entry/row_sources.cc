#include "entry/row_sources.h"

#include "base/log.h"
#include "base/spawn.h"
#include "entry/entry_news.h"
#include "links/relayed_rows.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// The operator's changes: the store holds the question for a quarter of the
/// lease on keys, which each answer renews.
constexpr Duration kOperatorWait = 1200ms;
/// Replicas: one that leaves must get no calls 2 s after it said so.
constexpr links::FollowPace kReplicaPace = {Duration(), 900ms, Duration()};
/// Both while another entry reads for this one, in case that all its news were
/// lost. An entry that the store doesn't answer needs no quick answer then. 43
/// such entries that asked every 10 s made a quarter of all calls to the store
/// on a calm day.
constexpr links::FollowPace kReadForPace = {Duration(), 30s, 2s};

}  // namespace

RowSources::RowSources(const boost::asio::any_io_executor& executor,
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
          [this](const platform::Rows& rows, bool whole) {
            m_intake.TakeOperatorRows(rows, whole);
            m_on_rows();
          }),
      m_replicas(
          executor,
          store,
          platform::kReplicaTable,
          [this] { return ReplicaPace(); },
          [this](const platform::Rows& rows, bool whole) {
            m_intake.TakeReplicaRows(rows, whole, m_replicas.regained_at());
            m_on_rows();
          }) {}

void RowSources::Start() {
  SpawnLoop(m_executor, m_operator.Run(), "operator_rows");
  SpawnLoop(m_executor, m_replicas.Run(), "replica_rows");
}

links::FollowPace RowSources::OperatorPace() {
  if (m_reading != decide::Reading::kOwn)
    return kReadForPace;
  // One that takes over has to prove at once that it knows the newest.
  const bool proved = Now() - m_state.m_operator_answered_at < kOperatorWait;
  return {proved ? kOperatorWait : Duration(),
          decide::TakeTurn(m_operator_pace, Now()), Duration()};
}

links::FollowPace RowSources::ReplicaPace() const {
  return m_reading == decide::Reading::kOwn ? kReplicaPace : kReadForPace;
}

void RowSources::Compare() {
  const TimePoint now = Now();
  m_state.m_store_lost = m_operator.lost() || m_replicas.lost();
  const PeerEntry* reader = ReaderFor(m_state, now);
  const decide::Reading before = m_reading;
  m_reading = decide::NextReading(m_turn, reader != nullptr,
                                  EntriesBefore(m_state, now), now);
  if (m_reading != before) {
    LogLine("reading")
        .With("from", reader ? reader->m_address.m_host
                             : m_state.m_options.m_self.m_host)
        .With("waits", m_reading == decide::Reading::kWaiting)
        .Info();
    if (m_reading == decide::Reading::kOwn) {
      m_took_over = now;
      m_operator.Poke();
      m_replicas.Poke();
    }
  }
  const PeerEntry* ahead = AheadOf(m_state, now);
  if (ahead && !m_fetching_operator && now >= m_next_operator_fetch) {
    Spawn(m_executor, FetchOperatorRows(ahead->m_address.m_peers),
          "fetch_operator_rows");
  }
  if (reader)
    CompareReplicas(*reader);
}

void RowSources::CompareReplicas(const PeerEntry& reader) {
  const TimePoint now = Now();
  if (reader.m_replicas_hash == m_state.m_replicas_hash)
    m_state.m_replicas_at = now;
  else if (!m_fetching_replicas && now >= m_next_replica_fetch)
    Spawn(m_executor, FetchReplicaRows(reader.m_address.m_peers),
          "fetch_replica_rows");
}

bool RowSources::HasTakenOver() {
  if (!m_took_over || m_state.m_operator_answered_at < *m_took_over ||
      m_state.m_replicas_at < *m_took_over)
    return false;
  m_took_over.reset();
  return true;
}

Awaitable<void> RowSources::FetchOperatorRows(Endpoint from) {
  m_fetching_operator = true;
  m_next_operator_fetch =
      Now() + decide::TakeTurn(m_operator_fetch_pace, Now());
  const auto relayed =
      co_await links::FetchRows(m_peers, from, links::kOperatorRowsPath);
  m_fetching_operator = false;
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Warn();
    m_operator.Poke();
    co_return;
  }
  m_intake.TakeRelayedOperatorRows(relayed->m_rows);
  m_operator.SkipTo(relayed->m_rows.m_revision);
  m_on_rows();
}

Awaitable<void> RowSources::FetchReplicaRows(Endpoint from) {
  m_fetching_replicas = true;
  m_next_replica_fetch = Now() + decide::TakeTurn(m_replica_fetch_pace, Now());
  const auto relayed =
      co_await links::FetchRows(m_peers, from, links::kReplicaRowsPath);
  m_fetching_replicas = false;
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Warn();
    m_replicas.Poke();
    co_return;
  }
  if (!m_intake.TakeRelayedReplicaRows(*relayed))
    co_return;
  m_replicas.SkipTo(relayed->m_rows.m_revision);
  m_on_rows();
}

Awaitable<void> RowSources::TellRows(const wire::Request& request,
                                     wire::ResponseWriter& caller) {
  const bool operator_rows = request.m_path == links::kOperatorRowsPath;
  const bool known = operator_rows
                         ? m_state.m_routes != nullptr
                         : request.m_path == links::kReplicaRowsPath &&
                               m_state.m_replicas_known;
  if (!known) {
    co_await caller.Send(wire::JsonResponse(404, "{}"));
    co_return;
  }
  std::string text;
  if (operator_rows) {
    text = links::EncodeRows(m_intake.operator_rows(), m_operator.revision(),
                             m_state.m_operator_proof, std::nullopt);
  } else {
    std::optional<Duration> regained_ago;
    if (m_replicas.regained_at() != TimePoint())
      regained_ago = Now() - m_replicas.regained_at();
    text =
        links::EncodeRows(m_intake.replica_rows(), m_intake.replicas_revision(),
                          Duration(), regained_ago);
  }
  co_await caller.Send(wire::JsonResponse(200, std::move(text)));
}

}  // namespace verbenalead::entry
