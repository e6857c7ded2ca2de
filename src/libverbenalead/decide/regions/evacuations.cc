#include "decide/regions/evacuations.h"

namespace verbenalead::decide {
namespace {

void End(Evacuation& evacuation, model::Revision revision, TimePoint now) {
  evacuation.m_revision = revision;
  evacuation.m_active = false;
  evacuation.m_ended_at = now;
}

}  // namespace

EvacuationChange ApplyEvacuationRow(Evacuations& evacuations,
                                    const std::string& data_center,
                                    model::Revision revision,
                                    bool removed,
                                    TimePoint now) {
  const auto [found, is_new] =
      evacuations.m_data_centers.try_emplace(data_center);
  Evacuation& evacuation = found->second;
  if (!is_new && revision <= evacuation.m_revision)
    return EvacuationChange::kOutdated;
  evacuation.m_revision = revision;
  if (evacuation.m_active != removed)
    return EvacuationChange::kNone;
  if (removed) {
    End(evacuation, revision, now);
    return EvacuationChange::kEnded;
  }
  evacuation.m_active = true;
  evacuation.m_ended_at.reset();
  return EvacuationChange::kBegun;
}

std::vector<std::string> EndAbsentEvacuations(
    Evacuations& evacuations,
    const std::set<std::string>& present,
    model::Revision revision,
    TimePoint now) {
  std::vector<std::string> ended;
  for (auto& [data_center, evacuation] : evacuations.m_data_centers) {
    if (!evacuation.m_active || present.contains(data_center) ||
        evacuation.m_revision.m_era != revision.m_era ||
        evacuation.m_revision >= revision)
      continue;
    End(evacuation, revision, now);
    ended.push_back(data_center);
  }
  return ended;
}

std::vector<std::string> EndEvacuationsBeforeEra(Evacuations& evacuations,
                                                 uint64_t era,
                                                 TimePoint now) {
  std::vector<std::string> ended;
  for (auto& [data_center, evacuation] : evacuations.m_data_centers) {
    if (!evacuation.m_active || evacuation.m_revision.m_era >= era)
      continue;
    // Older than any row of the era, and the same in all processes.
    End(evacuation, {era, 0}, now);
    ended.push_back(data_center);
  }
  return ended;
}

std::set<std::string> EvacuatedDataCenters(const Evacuations& evacuations) {
  std::set<std::string> active;
  for (const auto& [data_center, evacuation] : evacuations.m_data_centers) {
    if (evacuation.m_active)
      active.insert(data_center);
  }
  return active;
}

std::optional<TimePoint> EvacuationEndedAt(const Evacuations& evacuations,
                                           const std::string& data_center) {
  const auto found = evacuations.m_data_centers.find(data_center);
  return found == evacuations.m_data_centers.end() ? std::nullopt
                                                   : found->second.m_ended_at;
}

}  // namespace verbenalead::decide
