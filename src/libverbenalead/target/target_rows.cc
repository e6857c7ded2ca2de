#include "target/target_rows.h"

#include <algorithm>
#include <utility>

#include "base/catch_failure.h"
#include "base/log.h"
#include "decide/placement/live_replicas.h"
#include "links/cold_log.h"
#include "platform/decode_config.h"
#include "platform/decode_replica.h"
#include "platform/decode_weights.h"
#include "platform/names.h"

namespace verbenalead::target {
namespace {

/// Applies what the configuration says of cold replicas of the service.
void ApplyColdConfig(TargetState& state, const model::Service& service) {
  const bool valid = decide::IsValidColdRate(service.m_cold_rate);
  if (!valid &&
      (service.m_cold_rate != 0 || service.m_cold_start != Duration()))
    links::LogBadColdService(service);
  state.m_cold_limits = {valid ? service.m_cold_rate : 0,
                         state.m_options.m_cold_overrun,
                         state.m_options.m_cold_slack};
}

/// Applies a newer configuration; logs and ignores a malformed one.
void ApplyConfig(TargetState& state, const std::string& text) {
  auto config = CatchFailure([&] { return platform::DecodeConfig(text); });
  if (!config) {
    LogLine("bad_config").With(config.error()).Error();
    return;
  }
  if (config->m_version <= state.m_config_version)
    return;
  state.m_config_version = config->m_version;
  state.m_services.clear();
  for (const model::Service& service : config->m_services) {
    state.m_services.insert(service.m_name);
    if (service.m_name == state.m_options.m_service) {
      state.m_engine = service.m_engine;
      ApplyColdConfig(state, service);
    }
    if (!service.m_origin.empty()) {
      state.m_origin = service.m_origin;
      state.m_origin_rate = service.m_origin_rate;
    }
  }
  LogLine("config_in_force")
      .With("version", config->m_version)
      .With("origin", ToString(state.m_origin))
      .With("model", state.m_engine ? state.m_engine->m_model : "")
      .Info();
}

/// Records the declaration of a version of this host's model, made `age` ago.
void ApplyWeights(TargetState& state, const std::string& text, Duration age) {
  const auto declared = platform::DecodeWeights(text);
  if (!declared) {
    LogLine("bad_weights_row").Error();
    return;
  }
  if (!state.m_engine || declared->m_model != state.m_engine->m_model ||
      state.m_declared.contains(declared->m_version))
    return;
  LogLine("weights_declared")
      .With("model", declared->m_model)
      .With("version", declared->m_version)
      .With("before", NewestVersion(state))
      .With("age_ms", ToMilliseconds(age))
      .Info();
  state.m_declared.emplace(declared->m_version, Now() - age);
}

}  // namespace

const model::Replica* OwnReplica(const TargetState& state) {
  // The newest row of the address, unless it is of a service that the
  // configuration doesn't have, as another program may write it.
  const model::Replica* newest = nullptr;
  for (const auto& [id, replica] : state.m_listed) {
    if (replica.m_endpoint != state.m_options.m_engine ||
        (!state.m_services.empty() &&
         !state.m_services.contains(replica.m_service)))
      continue;
    if (!newest || newest->m_revision < replica.m_revision)
      newest = &replica;
  }
  return newest && newest->m_service == state.m_options.m_service ? newest
                                                                  : nullptr;
}

void ApplyOperatorRows(TargetState& state,
                       const platform::Rows& rows,
                       const std::map<std::string, Duration>& ages) {
  // The configuration comes first, as it defines which model this host runs.
  for (const platform::Row& row : rows.m_rows) {
    if (!row.m_deleted && row.m_key == platform::kConfigKey)
      ApplyConfig(state, row.m_value);
  }
  for (const platform::Row& row : rows.m_rows) {
    if (row.m_deleted || !row.m_key.starts_with(platform::kWeightsKeyPrefix))
      continue;
    const auto age = ages.find(row.m_key);
    ApplyWeights(state, row.m_value,
                 age == ages.end() ? Duration() : age->second);
  }
}

void ApplyDeclarationAges(TargetState& state,
                          const std::vector<links::DeclarationAge>& declared) {
  if (!state.m_engine)
    return;
  for (const links::DeclarationAge& report : declared) {
    const TimePoint declared_at = Now() - report.m_max_age;
    const uint64_t newest = NewestVersion(state);
    const auto [found, is_new] =
        state.m_declared.try_emplace(report.m_version, declared_at);
    // Reports that are under way for longer give a later time, so the earliest
    // one counts. A known time replaces a guess, whatever it is.
    const bool was_known = !state.m_known_dates.insert(report.m_version).second;
    const TimePoint before = found->second;
    found->second = was_known ? std::min(before, declared_at) : declared_at;
    if (!is_new && was_known)
      continue;
    LogLine(is_new ? "weights_declared" : "weights_redated")
        .With("model", state.m_engine->m_model)
        .With("version", report.m_version)
        .With("before", newest)
        .With("age_ms", ToMilliseconds(report.m_max_age))
        .Info();
  }
}

bool HasEngine(const TargetState& state, const platform::Rows& rows) {
  for (const platform::Row& row : rows.m_rows) {
    if (row.m_deleted || row.m_key != platform::kConfigKey)
      continue;
    auto config =
        CatchFailure([&] { return platform::DecodeConfig(row.m_value); });
    // ApplyOperatorRows logs why the configuration is malformed.
    if (!config)
      return false;
    return std::any_of(config->m_services.begin(), config->m_services.end(),
                       [&](const model::Service& service) {
                         return service.m_name == state.m_options.m_service &&
                                service.m_engine;
                       });
  }
  return false;
}

void ApplyReplicaRows(TargetState& state,
                      const platform::Rows& rows,
                      bool is_snapshot) {
  const std::map<std::string, model::Revision> logged =
      std::exchange(state.m_bad_replica_rows, {});
  if (is_snapshot)
    state.m_listed.clear();
  else
    state.m_bad_replica_rows = logged;
  for (const platform::Row& row : rows.m_rows) {
    state.m_listed.erase(row.m_key);
    if (row.m_deleted)
      continue;
    auto replica = CatchFailure(
        [&] { return platform::DecodeReplica(row.m_key, row.m_value); });
    if (!replica) {
      const auto found = logged.find(row.m_key);
      if (found == logged.end() || found->second != row.m_revision)
        LogLine("bad_replica_row").With(replica.error()).Warn();
      state.m_bad_replica_rows[row.m_key] = row.m_revision;
      continue;
    }
    replica->m_revision = row.m_revision;
    state.m_listed.emplace(row.m_key, std::move(*replica));
  }
  state.m_replicas = decide::LiveReplicas(state.m_listed);
}

}  // namespace verbenalead::target
