#include "entry/row_applier.h"

#include <boost/json.hpp>
#include <set>

#include "base/boot_clock.h"
#include "base/catch_failure.h"
#include "base/join_names.h"
#include "base/log.h"
#include "decide/placement/live_replicas.h"
#include "decide/regions/allowed_data_centers.h"
#include "decide/store/earliest_write.h"
#include "entry/declarations.h"
#include "entry/evacuation_rows.h"
#include "entry/store_return.h"
#include "model/rank.h"
#include "platform/decode_config.h"
#include "platform/decode_replica.h"
#include "platform/decode_weights.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// Time after the store's return for which replicas without a row are kept.
/// Rows that expired while the store was unavailable are back within two
/// seconds; the rest is the time until this entry reads them.
constexpr Duration kExpiredRowGrace = 2200ms;

/// Whether `row` tells nothing that `kept` doesn't: it is the same row, or an
/// older one of the same history. The revisions of two histories have no order,
/// and an entry may have kept a newer value than the copy of the store at the
/// same revision; then the content decides.
bool IsKnown(const platform::Row& kept, const platform::Row& row) {
  if (row.m_revision.m_era == kept.m_revision.m_era &&
      row.m_revision != kept.m_revision)
    return row.m_revision < kept.m_revision;
  return row.m_revision == kept.m_revision && row.m_value == kept.m_value;
}

}  // namespace

void RowApplier::MergeOperatorRows(
    const platform::Rows& rows,
    const std::string& source,
    const std::function<decide::DeclarationDate(const platform::Row&)>&
        date_of) {
  for (const platform::Row& row : rows.m_rows) {
    if (IsEvacuationRow(row)) {
      MergeEvacuationRow(row, source);
      continue;
    }
    platform::Row& kept = m_operator_rows[row.m_key];
    if (IsKnown(kept, row))
      continue;
    const model::Revision known = kept.m_revision;
    const bool applied =
        !row.m_deleted && ApplyOperatorRow(row, date_of(row), source);
    kept.m_key = row.m_key;
    if (applied || kept.m_value.empty())
      kept.m_value = row.m_value;
    kept.m_revision = std::max(kept.m_revision, row.m_revision);
    ++m_operator_generation;
    if (!applied) {
      LogLine("row_not_applied")
          .With("key", row.m_key)
          .With("revision", ToString(row.m_revision))
          .With("known_revision", ToString(known))
          .With("deleted", row.m_deleted)
          .Info();
    }
    m_state.m_operator_revision =
        std::max(m_state.m_operator_revision, kept.m_revision);
    if (row.m_key.starts_with(platform::kWeightsKeyPrefix)) {
      m_state.m_weights_revision =
          std::max(m_state.m_weights_revision, kept.m_revision);
    }
  }
}

void RowApplier::MergeEvacuationRow(const platform::Row& row,
                                    const std::string& source) {
  ApplyEvacuation(m_state, row, source);
  // An update of another entry may have told of the row before.
  const auto [kept, is_new] = m_operator_rows.try_emplace(row.m_key);
  if (!is_new && row.m_revision <= kept->second.m_revision)
    return;
  kept->second = row;
  ++m_operator_generation;
  m_state.m_operator_revision =
      std::max(m_state.m_operator_revision, row.m_revision);
}

void RowApplier::MarkEvacuationsEnded(
    const std::vector<std::string>& data_centers) {
  for (const std::string& data_center : data_centers) {
    const std::string key = EvacuationKey(data_center);
    const model::Revision revision =
        m_state.m_evacuations.m_data_centers.at(data_center).m_revision;
    m_operator_rows[key] = {key, "", revision, true};
    ++m_operator_generation;
    m_state.m_operator_revision =
        std::max(m_state.m_operator_revision, revision);
  }
}

void RowApplier::ReviewEvacuations() {
  MarkEvacuationsEnded(EndEvacuationsMissingFromCopy(m_state));
}

bool RowApplier::ApplyOperatorRow(const platform::Row& row,
                                  decide::DeclarationDate date,
                                  const std::string& source) {
  if (row.m_key == platform::kConfigKey)
    return ApplyConfig(row.m_value);
  if (row.m_key.starts_with(platform::kWeightsKeyPrefix))
    return ApplyWeights(row, date, source);
  return true;
}

void RowApplier::ApplyOperatorRows(const platform::Rows& rows,
                                   bool is_snapshot) {
  const model::StoreTime answered = {rows.m_revision.m_era, rows.m_store_time};
  if (!NoteStoreEra(m_state, answered.m_era, "store"))
    return;
  const Duration answered_at =
      decide::AnsweredAt(m_state.m_store_clock, rows.m_asked_at, answered);
  const bool first = is_snapshot && !m_operator_rows_read;
  const auto& proved_at = m_state.m_lease.m_proved_at;
  decide::DeclarationDate date;
  if (first) {
    date = AssumedDate(m_state);
  } else {
    date = {decide::EarliestWriteTime(rows.m_asked_at, answered_at, proved_at),
            decide::IsWriteTimeProved(rows.m_asked_at, proved_at)};
  }
  MergeOperatorRows(rows, "store",
                    [&date](const platform::Row&) { return date; });
  if (is_snapshot) {
    m_operator_rows_read = true;
    MarkEvacuationsEnded(EndAbsentEvacuations(m_state, rows, "store"));
  }
  m_state.m_operator_confirmed_at = answered;
  m_state.m_newest_proof = answered;
  m_state.m_operator_answered_at = Now();
  ApplyProof(m_state, answered_at);
  ReviewEvacuations();
}

void RowApplier::ApplyRelayedOperatorRows(const links::RelayedRows& relayed) {
  const platform::Rows& rows = relayed.m_rows;
  const model::StoreTime proof = {rows.m_revision.m_era, rows.m_store_time};
  const bool current = NoteStoreEra(m_state, proof.m_era, "entry");
  const decide::DeclarationDate unknown = AssumedDate(m_state);
  MergeOperatorRows(rows, "entry", [&](const platform::Row& row) {
    const auto age = relayed.m_max_ages.find(row.m_key);
    // The other entry may have guessed the age; its updates tell what it knows.
    return age == relayed.m_max_ages.end()
               ? unknown
               : decide::DeclarationDate{BootNow() - age->second, false};
  });
  MarkEvacuationsEnded(EndAbsentEvacuations(m_state, rows, "entry"));
  m_operator_rows_read = true;
  if (!current)
    return;
  // The other entry answered after the request was sent, so this is no later
  // than the true time of the proof. Without it an entry that doesn't read the
  // store itself would not know the clock of a new era.
  if (relayed.m_proof_age) {
    decide::AnsweredAt(m_state.m_store_clock,
                       rows.m_asked_at - *relayed.m_proof_age, proof);
  }
  if (const auto proved_at = decide::ToLocal(m_state.m_store_clock, proof)) {
    m_state.m_newest_proof = proof;
    ApplyProof(m_state, *proved_at);
  }
  ReviewEvacuations();
}

bool RowApplier::ApplyConfig(const std::string& text) {
  auto config = CatchFailure([&] { return platform::DecodeConfig(text); });
  if (!config) {
    LogLine("bad_config").With(config.error()).Error();
    return false;
  }
  const uint64_t before = ConfigVersion(m_state);
  if (config->m_version < before) {
    LogLine("config_ignored")
        .With("version", config->m_version)
        .With("in_force", before)
        .Info();
  }
  if (config->m_version <= before)
    return config->m_version == before;
  m_state.m_metrics.Set("config_version", "",
                        static_cast<double>(config->m_version));
  LogLine("config_in_force")
      .With("version", config->m_version)
      .With("before", before)
      .With("routes", static_cast<uint64_t>(config->m_routes.size()))
      .Info();
  for (const std::string& rank : config->m_clamped_ranks) {
    LogLine("rank_clamped")
        .With("version", config->m_version)
        .With("value", rank)
        .With("allowed", "whole numbers from 0 to " +
                             std::to_string(model::kLeastUrgentRank))
        .Warn();
  }
  m_state.m_routes =
      std::make_shared<const decide::RouteTable>(std::move(*config));
  LogUnknownRegions();
  return true;
}

void RowApplier::LogUnknownRegions() const {
  const decide::RegionMap& regions = m_state.m_options.m_regions;
  std::set<std::string> known;
  for (const auto& [data_center, region] : regions)
    known.insert(region);
  for (const std::string& region :
       decide::UnknownRegions(m_state.m_routes->config(), regions)) {
    LogLine("unknown_region")
        .With("value", region)
        .With("allowed", JoinNames(known))
        .With("config", ConfigVersion(m_state))
        .Warn();
  }
}

bool RowApplier::ApplyWeights(const platform::Row& row,
                              decide::DeclarationDate date,
                              const std::string& source) {
  const auto declared = platform::DecodeWeights(row.m_value);
  if (!declared) {
    LogLine("bad_weights_row").With("key", row.m_key).Error();
    return false;
  }
  const decide::DeclaredVersions& versions =
      m_state.m_weights[declared->m_model];
  const uint64_t newest = decide::Newest(versions);
  // The row of a version that is known already was written again, or comes from
  // another process; it says nothing new of when the version was declared.
  if (!versions.m_declarations.contains(declared->m_version)) {
    ApplyDeclaration(m_state, declared->m_model, declared->m_version, date,
                     source);
  }
  return declared->m_version >= newest;
}

links::EarliestWriteTimes RowApplier::seen() const {
  links::EarliestWriteTimes times;
  for (const auto& [key, row] : m_operator_rows) {
    if (!key.starts_with(platform::kWeightsKeyPrefix))
      continue;
    const auto declared = platform::DecodeWeights(row.m_value);
    const auto versions = declared ? m_state.m_weights.find(declared->m_model)
                                   : m_state.m_weights.end();
    if (versions == m_state.m_weights.end())
      continue;
    const auto& declarations = versions->second.m_declarations;
    const auto found = declarations.find(declared->m_version);
    if (found != declarations.end())
      times[key] = found->second.m_date.m_declared_at;
  }
  return times;
}

void RowApplier::ApplyReplicaRow(const platform::Row& row) {
  if (row.m_deleted) {
    const auto gone = m_replicas.find(row.m_key);
    if (gone != m_replicas.end())
      decide::RecordGone(m_gone, gone->second, BootNow());
    m_replica_generation += m_replica_rows.erase(row.m_key);
    m_replicas.erase(row.m_key);
    return;
  }
  platform::Row& kept = m_replica_rows[row.m_key];
  if (kept == row)
    return;
  // A row that can't be read may be written again with each heartbeat.
  const bool is_news = kept.m_key.empty() || kept.m_value != row.m_value;
  kept = row;
  ++m_replica_generation;
  auto replica = CatchFailure(
      [&] { return platform::DecodeReplica(row.m_key, row.m_value); });
  if (!replica) {
    if (is_news)
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
        .With("row_revision", ToString(row.m_revision))
        .Info();
  }
  if (known != m_replicas.end() && known->second.m_leaving &&
      !replica->m_leaving && model::SameIncarnation(known->second, *replica)) {
    // The pool keeps it as leaving; the row is that of a copy.
    LogLine("leaving_kept")
        .With("replica", replica->m_id)
        .With("row_revision", ToString(row.m_revision))
        .With("known_revision", ToString(known->second.m_revision))
        .Info();
  }
  replica->m_revision = row.m_revision;
  m_replicas[row.m_key] = std::move(*replica);
}

void RowApplier::RemoveAbsentReplicas(const platform::Rows& rows) {
  std::set<std::string> present;
  for (const platform::Row& row : rows.m_rows)
    present.insert(row.m_key);
  const auto is_absent = [&](const auto& entry) {
    return !present.contains(entry.first);
  };
  // A copy of the store may lack the row of a replica that started since.
  if (rows.m_revision.m_era == m_replicas_revision.m_era) {
    for (const auto& [id, replica] : m_replicas) {
      if (!present.contains(id))
        decide::RecordGone(m_gone, replica, BootNow());
    }
  }
  m_replica_generation += std::erase_if(m_replica_rows, is_absent);
  std::erase_if(m_replicas, is_absent);
}

void RowApplier::ApplyReplicaRows(const platform::Rows& rows,
                                  bool is_snapshot,
                                  TimePoint regained_at) {
  if (!NoteStoreEra(m_state, rows.m_revision.m_era, "store"))
    return;
  if (is_snapshot)
    RemoveAbsentReplicas(rows);
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
  const TimePoint returned_at = std::max(regained_at, StoreReturnedAt(m_state));
  UpdatePools(returned_at == TimePoint() ? TimePoint()
                                         : returned_at + kExpiredRowGrace);
}

bool RowApplier::ApplyRelayedReplicaRows(const links::RelayedRows& relayed) {
  // An older table would bring back replicas that are known to be leaving.
  if (relayed.m_rows.m_revision < m_replicas_revision ||
      relayed.m_rows.m_revision.m_era < m_state.m_store_era.m_era) {
    LogLine("table_ignored")
        .With("table", platform::kReplicaTable)
        .With("revision", ToString(relayed.m_rows.m_revision))
        .With("known_revision", ToString(m_replicas_revision))
        .Info();
    return false;
  }
  ApplyReplicaRows(relayed.m_rows, true,
                   relayed.m_store_regained_ago
                       ? Now() - *relayed.m_store_regained_ago
                       : TimePoint());
  return true;
}

void RowApplier::ReviewGoneReplicas() {
  // A new configuration may have the service of a row that was left out.
  if (m_hides_replicas || m_pools_config_version != ConfigVersion(m_state))
    UpdatePools(TimePoint());
}

void RowApplier::UpdatePools(TimePoint keep_missing_until) {
  // Other processes compare the list as the table has it.
  m_state.m_replicas_hash = decide::HashOf(decide::LiveReplicas(m_replicas));
  std::set<std::string> services;
  if (m_state.m_routes) {
    for (const model::Service& service : m_state.m_routes->config().m_services)
      services.insert(service.m_name);
  }
  m_pools_config_version = ConfigVersion(m_state);
  std::map<std::string, model::Replica> live =
      decide::LiveReplicas(m_replicas, m_state.m_routes ? &services : nullptr);
  m_hides_replicas =
      std::erase_if(live, [&](const auto& entry) {
        return decide::IsBackFromCopy(m_gone, entry.second,
                                      m_state.m_store_era.m_since, BootNow());
      }) > 0;
  std::map<std::string, std::vector<model::Replica>> by_service;
  for (const auto& [id, replica] : live)
    by_service[replica.m_service].push_back(replica);
  for (const auto& [service, replicas] : by_service)
    GetOrCreateService(m_state, service);
  const TimePoint now = Now();
  for (auto& [name, service] : m_state.m_services) {
    decide::SetReplicas(service.m_pool, by_service[name], keep_missing_until,
                        now);
  }
}

}  // namespace verbenalead::entry
