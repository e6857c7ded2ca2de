#include "entry/evacuation_rows.h"

#include "base/join_names.h"
#include "base/log.h"
#include "decide/regions/region_map.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// The end of an evacuation is reported for this long, so that the loss of some
/// datagrams loses no end. After that only the rows tell it.
constexpr Duration kReportEndFor = 10s;

std::string DataCenterOf(const std::string& key) {
  return key.substr(std::string(platform::kEvacuationKeyPrefix).size());
}

/// Whether `data_center` is one of the settings' map of regions; without a map
/// any may be.
bool IsKnownDataCenter(const EntryState& state,
                       const std::string& data_center) {
  const decide::RegionMap& regions = state.m_options.m_regions;
  return !data_center.empty() &&
         (regions.empty() || regions.contains(data_center));
}

void LogUnknownDataCenter(const EntryState& state,
                          const std::string& data_center) {
  std::vector<std::string> known;
  for (const auto& [name, region] : state.m_options.m_regions)
    known.push_back(name);
  LogLine("evacuation_ignored")
      .With("value", data_center)
      .With("allowed", JoinNames(known))
      .Warn();
}

void UpdatePoolsAfterChange(EntryState& state) {
  std::set<std::string> evacuated =
      decide::EvacuatedDataCenters(state.m_evacuations);
  std::erase_if(evacuated, [&](const std::string& data_center) {
    return !IsKnownDataCenter(state, data_center);
  });
  for (auto& [name, service] : state.m_services)
    service.m_pool.m_evacuated_data_centers = evacuated;
  state.m_metrics.Set("data_centers_evacuated", "",
                      static_cast<double>(evacuated.size()));
  state.m_evacuated_data_centers = std::move(evacuated);
  ++state.m_evacuation_changes;
}

/// The replicas may have become cold during the evacuation, and their rows tell
/// of it only with their next write.
void PresumeColdAfterEnd(EntryState& state,
                         const std::string& data_center,
                         model::Revision revision) {
  for (auto& [name, service] : state.m_services) {
    decide::PresumeCold(service.m_pool, data_center,
                        service.m_pool.m_cold_start, revision, Now());
  }
}

void ApplyChange(EntryState& state,
                 const std::string& data_center,
                 const std::string& source) {
  const decide::Evacuation& evacuation =
      state.m_evacuations.m_data_centers.at(data_center);
  if (!IsKnownDataCenter(state, data_center)) {
    if (evacuation.m_active)
      LogUnknownDataCenter(state, data_center);
    return;
  }
  LogLine("evacuation")
      .With("data_center", data_center)
      .With("state", evacuation.m_active ? "begun" : "ended")
      .With("source", source)
      .With("revision", ToString(evacuation.m_revision))
      .Info();
  UpdatePoolsAfterChange(state);
  if (!evacuation.m_active)
    PresumeColdAfterEnd(state, data_center, evacuation.m_revision);
}

void Apply(EntryState& state,
           const links::EvacuationReport& row,
           const std::string& source) {
  const decide::EvacuationChange change =
      decide::ApplyEvacuationRow(state.m_evacuations, row.m_data_center,
                                 row.m_revision, !row.m_active, Now());
  if (change == decide::EvacuationChange::kBegun ||
      change == decide::EvacuationChange::kEnded)
    ApplyChange(state, row.m_data_center, source);
}

}  // namespace

bool IsEvacuationRow(const platform::Row& row) {
  return row.m_key.starts_with(platform::kEvacuationKeyPrefix);
}

std::string EvacuationKey(const std::string& data_center) {
  return platform::kEvacuationKeyPrefix + data_center;
}

void ApplyEvacuation(EntryState& state,
                     const platform::Row& row,
                     const std::string& source) {
  Apply(state, {DataCenterOf(row.m_key), row.m_revision, !row.m_deleted},
        source);
}

std::vector<std::string> EndAbsentEvacuations(EntryState& state,
                                              const platform::Rows& table,
                                              const std::string& source) {
  std::set<std::string> present;
  for (const platform::Row& row : table.m_rows) {
    if (IsEvacuationRow(row))
      present.insert(DataCenterOf(row.m_key));
  }
  std::vector<std::string> ended = decide::EndAbsentEvacuations(
      state.m_evacuations, present, table.m_revision, Now());
  for (const std::string& data_center : ended)
    ApplyChange(state, data_center, source);
  return ended;
}

std::vector<std::string> EndEvacuationsMissingFromCopy(EntryState& state) {
  const auto& proved_at = state.m_lease.m_proved_at;
  if (state.m_evacuated_data_centers.empty() || !proved_at ||
      state.m_newest_proof.m_era != state.m_store_era.m_era ||
      !decide::IsSettled(state.m_store_era, *proved_at))
    return {};
  std::vector<std::string> ended = decide::EndEvacuationsBeforeEra(
      state.m_evacuations, state.m_store_era.m_era, Now());
  for (const std::string& data_center : ended)
    ApplyChange(state, data_center, "copy");
  return ended;
}

std::vector<links::EvacuationReport> EvacuationsToReport(
    const EntryState& state,
    TimePoint now) {
  std::vector<links::EvacuationReport> reports;
  for (const auto& [data_center, evacuation] :
       state.m_evacuations.m_data_centers) {
    const auto& ended_at = evacuation.m_ended_at;
    if (evacuation.m_active || (ended_at && now - *ended_at < kReportEndFor))
      reports.push_back(
          {data_center, evacuation.m_revision, evacuation.m_active});
  }
  return reports;
}

void ApplyEvacuationReports(EntryState& state,
                            const std::vector<links::EvacuationReport>& reports,
                            const std::string& host) {
  for (const links::EvacuationReport& report : reports)
    Apply(state, report, host);
}

}  // namespace verbenalead::entry
