#include "entry/row_applier.h"

#include <boost/json.hpp>
#include <set>

#include "base/boot_clock.h"
#include "base/catch_failure.h"
#include "base/log.h"
#include "decide/earliest_write.h"
#include "decide/live_replicas.h"
#include "platform/decode_config.h"
#include "platform/decode_replica.h"
#include "platform/decode_weights.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// New weights become mandatory this long before their bound ends: calls that
/// have not started on older weights by then are cancelled, which takes a few
/// ms, and this entry receives the declaration a little late.
constexpr Duration kBindingMargin = 600ms;
/// Weights that were declared before this process started become mandatory
/// after this time. The age of the declaration is not known, and after a loss
/// of power no replica has loaded any weights yet.
constexpr Duration kBindingAfterStart = 2500ms;
/// Time after the store's return for which replicas without a row are kept.
/// Rows that expired while the store was unavailable are back within two
/// seconds; the rest is the time until this entry reads them.
constexpr Duration kExpiredRowGrace = 2200ms;

}  // namespace

void RowApplier::MergeOperatorRows(
    const platform::Rows& rows,
    const std::function<Duration(const platform::Row&)>& age_of) {
  for (const platform::Row& row : rows.m_rows) {
    platform::Row& kept = m_operator_rows[row.m_key];
    if (row.m_revision < kept.m_revision) {
      LogLine("row_ignored")
          .With("key", row.m_key)
          .With("revision", row.m_revision)
          .With("known_revision", kept.m_revision)
          .Warn();
    }
    if (row.m_revision <= kept.m_revision)
      continue;
    kept = row;
    m_state.m_operator_revision =
        std::max(m_state.m_operator_revision, row.m_revision);
    if (row.m_deleted)
      continue;
    if (row.m_key == platform::kConfigKey) {
      ApplyConfig(row.m_value);
    } else if (row.m_key.starts_with(platform::kWeightsKeyPrefix)) {
      m_state.m_weights_revision =
          std::max(m_state.m_weights_revision, row.m_revision);
      ApplyWeights(row, age_of(row));
    }
  }
}

void RowApplier::ApplyOperatorRows(const platform::Rows& rows,
                                   bool is_snapshot) {
  const Duration answered_at = decide::AnsweredAt(
      m_state.m_store_clock, rows.m_asked_at, rows.m_store_time);
  const bool first = is_snapshot && !m_operator_rows_read;
  const Duration written_at = decide::EarliestWriteTime(
      rows.m_asked_at, answered_at, m_state.m_lease.m_proved_at);
  const Duration age =
      first ? AssumedAge()
            : std::max<Duration>(Duration(), BootNow() - written_at);
  MergeOperatorRows(rows, [age](const platform::Row&) { return age; });
  if (is_snapshot)
    m_operator_rows_read = true;
  m_state.m_metrics.Set("store_era", "", static_cast<double>(rows.m_era));
  m_state.m_operator_confirmed_at = rows.m_store_time;
  m_state.m_operator_answered_at = Now();
  decide::RenewLease(m_state.m_lease, answered_at);
}

void RowApplier::ApplyRelayedOperatorRows(const links::RelayedRows& relayed) {
  const Duration unknown = AssumedAge();
  MergeOperatorRows(relayed.m_rows, [&](const platform::Row& row) {
    const auto age = relayed.m_max_ages.find(row.m_key);
    return age == relayed.m_max_ages.end() ? unknown : age->second;
  });
  m_operator_rows_read = true;
  if (m_state.m_store_clock.m_offset) {
    decide::RenewLease(m_state.m_lease, relayed.m_rows.m_store_time +
                                            *m_state.m_store_clock.m_offset);
  }
}

Duration RowApplier::BindingDelay() const {
  return m_state.m_options.m_weights_bound - kBindingMargin;
}

Duration RowApplier::AssumedAge() const {
  const Duration now = BootNow();
  if (m_state.m_lease.m_proved_at)
    return now -
           decide::EarliestWriteTime(now, now, m_state.m_lease.m_proved_at);
  return BindingDelay() - kBindingAfterStart;
}

void RowApplier::ApplyConfig(const std::string& text) {
  auto config = CatchFailure([&] { return platform::DecodeConfig(text); });
  if (!config) {
    LogLine("bad_config").With(config.error()).Error();
    return;
  }
  const uint64_t before =
      m_state.m_routes ? m_state.m_routes->config().m_version : 0;
  if (config->m_version < before) {
    LogLine("config_ignored")
        .With("version", config->m_version)
        .With("in_force", before)
        .Info();
  }
  if (config->m_version <= before)
    return;
  m_state.m_metrics.Set("config_version", "",
                        static_cast<double>(config->m_version));
  LogLine("config_in_force")
      .With("version", config->m_version)
      .With("before", before)
      .With("routes", static_cast<uint64_t>(config->m_routes.size()))
      .Info();
  m_state.m_routes =
      std::make_shared<const decide::RouteTable>(std::move(*config));
}

void RowApplier::ApplyWeights(const platform::Row& row, Duration age) {
  const auto declared = platform::DecodeWeights(row.m_value);
  if (!declared) {
    LogLine("bad_weights_row").Error();
    return;
  }
  m_seen[row.m_key] = BootNow() - age;
  decide::DeclaredVersions& versions = m_state.m_weights[declared->m_model];
  if (declared->m_version <= decide::Newest(versions))
    return;
  const Duration binding_in = BindingDelay() - age;
  LogLine("weights_declared")
      .With("model", declared->m_model)
      .With("version", declared->m_version)
      .With("age_ms", ToMilliseconds(age))
      .With("binding_in_ms", ToMilliseconds(binding_in))
      .Info();
  decide::Declare(versions, declared->m_version, Now() + binding_in);
}

void RowApplier::ApplyReplicaRow(const platform::Row& row) {
  if (row.m_deleted) {
    m_replica_rows.erase(row.m_key);
    m_replicas.erase(row.m_key);
    return;
  }
  platform::Row& kept = m_replica_rows[row.m_key];
  if (kept == row)
    return;
  kept = row;
  auto replica = CatchFailure(
      [&] { return platform::DecodeReplica(row.m_key, row.m_value); });
  if (!replica) {
    LogLine("bad_replica_row").With(replica.error()).Warn();
    m_replicas.erase(row.m_key);
    return;
  }
  const auto known = m_replicas.find(row.m_key);
  if (known == m_replicas.end() ||
      !model::SameIncarnation(known->second, *replica) ||
      known->second.m_leaving != replica->m_leaving) {
    LogLine("replica")
        .With("replica", replica->m_id)
        .With("service", replica->m_service)
        .With("endpoint", ToString(replica->m_endpoint))
        .With("leaving", replica->m_leaving)
        .With("row_revision", row.m_revision)
        .Info();
  }
  replica->m_revision = row.m_revision;
  m_replicas[row.m_key] = std::move(*replica);
}

void RowApplier::ApplyReplicaRows(const platform::Rows& rows,
                                  bool is_snapshot,
                                  TimePoint regained_at) {
  if (is_snapshot) {
    std::set<std::string> present;
    for (const platform::Row& row : rows.m_rows)
      present.insert(row.m_key);
    const auto is_absent = [&](const auto& entry) {
      return !present.contains(entry.first);
    };
    std::erase_if(m_replica_rows, is_absent);
    std::erase_if(m_replicas, is_absent);
  }
  const size_t before = m_replicas.size();
  for (const platform::Row& row : rows.m_rows)
    ApplyReplicaRow(row);
  if (m_replicas.size() < before) {
    LogLine("replicas_gone")
        .With("now", static_cast<uint64_t>(m_replicas.size()))
        .With("before", static_cast<uint64_t>(before))
        .Info();
  }
  m_replicas_revision = std::max(m_replicas_revision, rows.m_revision);
  m_state.m_replicas_known = true;
  m_state.m_replicas_confirmed_at = Now();
  UpdatePools(regained_at == TimePoint() ? TimePoint()
                                         : regained_at + kExpiredRowGrace);
}

bool RowApplier::ApplyRelayedReplicaRows(const links::RelayedRows& relayed) {
  // An older table would bring back replicas that are known to be leaving.
  if (relayed.m_rows.m_revision < m_replicas_revision) {
    LogLine("table_ignored")
        .With("table", platform::kReplicaTable)
        .With("revision", relayed.m_rows.m_revision)
        .With("known_revision", m_replicas_revision)
        .Info();
    return false;
  }
  ApplyReplicaRows(relayed.m_rows, true,
                   relayed.m_store_regained_ago
                       ? Now() - *relayed.m_store_regained_ago
                       : TimePoint());
  return true;
}

void RowApplier::UpdatePools(TimePoint keep_missing_until) {
  const std::map<std::string, model::Replica> live =
      decide::LiveReplicas(m_replicas);
  std::map<std::string, std::vector<model::Replica>> by_service;
  for (const auto& [id, replica] : live)
    by_service[replica.m_service].push_back(replica);
  for (const auto& [service, replicas] : by_service)
    GetOrCreateService(m_state, service);
  m_state.m_replicas_hash = decide::HashOf(live);
  const TimePoint now = Now();
  for (auto& [name, service] : m_state.m_services) {
    decide::SetReplicas(service.m_pool, by_service[name], keep_missing_until,
                        now);
  }
}

}  // namespace verbenalead::entry
