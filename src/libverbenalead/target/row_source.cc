#include "target/row_source.h"

#include <algorithm>

#include "base/catch_failure.h"
#include "base/join_names.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/placement/live_replicas.h"
#include "links/message.h"
#include "platform/names.h"
#include "target/target_rows.h"

namespace verbenalead::target {
namespace {

/// Least time between two reads of the list of replicas. The list has to be
/// recent, so that transfers do not wait for hosts that have left: chunks that
/// such a host was to fetch from the origin are fetched late, by the next host
/// in the order.
constexpr Duration kReplicaReadInterval = 300ms;
/// After a start, rows are requested from this many entries per round, with a
/// pause between rounds. They are requested from each entry this many times
/// before the list of entries is read again. The repetition is needed as the
/// entries may have started at the same time, and then know the tables half a
/// second later.
constexpr size_t kEntriesPerRound = 3;
constexpr size_t kAttemptsPerEntry = 2;
constexpr Duration kRoundPause = 200ms;
/// A start takes a second or two. Tables that are still unread after this time
/// are logged, and again at this interval.
constexpr Duration kWaitLineInterval = 5s;
/// Interval at which a process whose replica has no engine checks whether it
/// has one now.
constexpr Duration kIdleCheckInterval = 10s;

}  // namespace

RowSource::RowSource(const boost::asio::any_io_executor& executor,
                     TargetState& state,
                     platform::Store& store,
                     wire::Client& entries)
    : m_state(state),
      m_store(store),
      m_entries(entries),
      m_executor(executor),
      m_operator_rows(
          executor,
          store,
          platform::kOperatorTable,
          [this] { return Pace(); },
          [this](const platform::Rows& rows, bool) {
            ApplyOperatorRows(rows, {});
          }),
      m_replica_rows(
          executor,
          store,
          platform::kReplicaTable,
          [this] { return Pace(); },
          [this](const platform::Rows& rows, bool is_snapshot) {
            ApplyReplicaRows(m_state, rows, is_snapshot);
          }),
      m_start_jitter(
          std::uniform_real_distribution<double>(0, 1)(state.m_random)) {}

void RowSource::Start() {
  m_changes.m_started = Now();
  Spawn(m_executor, ReadInitialRows(), "learn_first");
  SpawnLoop(m_executor, m_operator_rows.Run(), "operator_rows");
  SpawnLoop(m_executor, m_replica_rows.Run(), "replica_rows");
}

links::PollSchedule RowSource::Pace() const {
  links::PollSchedule schedule;
  schedule.m_interval = decide::kUnannouncedReadInterval;
  schedule.m_paused =
      IsIdle() || decide::DefersStoreRead(m_changes, m_start_jitter, Now());
  return schedule;
}

bool RowSource::IsIdle() const {
  return m_state.m_config_version > 0 && !m_state.m_engine;
}

Awaitable<void> RowSource::ReadInitialRows() {
  std::vector<Endpoint> local_entries;
  size_t attempts = 0;
  while (!m_changes.m_known) {
    // Rows are requested from each entry twice, as it may have just started.
    // After that the list of entries is read again, as it may have changed.
    if (attempts >= kAttemptsPerEntry * local_entries.size()) {
      local_entries = co_await LocalEntries();
      attempts = 0;
    }
    bool received = false;
    for (size_t round_attempts = 0;
         round_attempts < kEntriesPerRound && !local_entries.empty() &&
         !m_changes.m_known && !received;
         ++round_attempts) {
      ++attempts;
      std::rotate(local_entries.begin(), local_entries.begin() + 1,
                  local_entries.end());
      received = co_await ReadRows(local_entries.back(), true);
    }
    if (received)
      attempts = 0;
    LogStartWaits();
    co_await Sleep(IsIdle() ? kIdleCheckInterval : kRoundPause);
  }
}

void RowSource::LogStartWaits() {
  const TimePoint now = Now();
  if (m_changes.m_known || IsIdle() ||
      now < std::max(m_next_wait_line, m_changes.m_started + kWaitLineInterval))
    return;
  m_next_wait_line = now + kWaitLineInterval;
  std::vector<std::string> waits;
  if (m_state.m_config_version == 0)
    waits.push_back("configuration");
  if (m_replica_rows.revision().m_number == 0)
    waits.push_back("replicas");
  LogLine("start_waits")
      .With("steps", JoinNames(waits))
      .With("since_start_ms", ToMilliseconds(now - m_changes.m_started))
      .Warn();
}

Awaitable<std::vector<Endpoint>> RowSource::LocalEntries() {
  std::vector<Endpoint> local_entries;
  const auto rows = co_await m_store.ReadTable(platform::kEntryTable,
                                               m_state.m_options.m_data_center);
  if (!rows) {
    LogLine("entries_not_read").With(rows.error()).Warn();
    co_return local_entries;
  }
  for (const platform::Row& row : rows->m_rows) {
    auto message =
        CatchFailure([&] { return links::DecodeMessage(row.m_value); });
    const auto* entry =
        message ? std::get_if<links::EntryUpdate>(&*message) : nullptr;
    if (entry)
      local_entries.push_back(entry->m_address.m_peers);
  }
  std::shuffle(local_entries.begin(), local_entries.end(), m_state.m_random);
  co_return local_entries;
}

Awaitable<bool> RowSource::ReadRows(Endpoint entry, bool with_replicas) {
  const auto relayed =
      co_await links::FetchRows(m_entries, entry, links::kTargetRowsPath);
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Info();
    if (relayed.error().m_code == FailureCode::kRefused)
      decide::RecordMissingRows(m_changes, Now());
    co_return false;
  }
  // The schedules of loads and transfers depend on the list of replicas. It is
  // read only if it differs: when all hosts read the list again with each
  // declaration, they filled the link of the entry that announces it and
  // learned of new weights late.
  if (with_replicas && HasEngine(m_state, relayed->m_rows))
    co_await ReadReplicaRows(entry);
  ApplyOperatorRows(relayed->m_rows, relayed->m_max_ages);
  m_operator_rows.SkipTo(relayed->m_rows.m_revision);
  co_return true;
}

Awaitable<void> RowSource::ReadRowsExclusively(Endpoint entry,
                                               bool with_replicas) {
  m_fetching = true;
  co_await ReadRows(entry, with_replicas);
  m_fetching = false;
}

Awaitable<void> RowSource::ReadReplicaRows(Endpoint entry) {
  m_next_replica_read = Now() + kReplicaReadInterval;
  const auto relayed =
      co_await links::FetchRows(m_entries, entry, links::kReplicaRowsPath);
  if (!relayed) {
    LogLine("rows_not_relayed").With(relayed.error()).Info();
    co_return;
  }
  // Entries do not learn the newest list at the same time, so this one may be
  // older than the list known here.
  if (relayed->m_rows.m_revision < m_replica_rows.revision())
    co_return;
  ApplyReplicaRows(m_state, relayed->m_rows, true);
  m_replica_rows.SkipTo(relayed->m_rows.m_revision);
}

void RowSource::ApplyOperatorRows(const platform::Rows& rows,
                                  const std::map<std::string, Duration>& ages) {
  for (const platform::Row& row : rows.m_rows) {
    if (row.m_key.starts_with(platform::kWeightsKeyPrefix))
      m_changes.m_weights_revision =
          std::max(m_changes.m_weights_revision, row.m_revision);
  }
  target::ApplyOperatorRows(m_state, rows, ages);
  m_changes.m_known = m_state.m_engine.has_value();
}

void RowSource::HandleAnnouncement(const Endpoint& entry,
                                   const links::SubscriptionRequest& request) {
  m_operator_rows.NoteEra(request.m_weights_revision.m_era);
  m_replica_rows.NoteEra(request.m_weights_revision.m_era);
  ApplyDeclarationAges(m_state, request.m_declared);
  const bool is_newer = decide::HandleAnnouncement(
      m_changes, request.m_same_data_center, request.m_weights_revision, Now());
  const bool other_replicas =
      request.m_replicas_hash != decide::HashOf(m_state.m_replicas);
  if (is_newer && !m_fetching)
    Spawn(m_executor, ReadRowsExclusively(entry, other_replicas), "take_over");
  else if (request.m_same_data_center && m_changes.m_known && other_replicas)
    RequestReplicaRows(entry);
}

void RowSource::RequestReplicaRows(const Endpoint& entry) {
  if (Now() < m_next_replica_read)
    return;
  m_next_replica_read = Now() + kReplicaReadInterval;
  Spawn(m_executor, ReadReplicaRows(entry), "take_over_replicas");
}

}  // namespace verbenalead::target
