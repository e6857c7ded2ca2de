#include "decide/admission/organisation_use.h"

#include <algorithm>
#include <cmath>

namespace verbenalead::decide {
namespace {

/// Decayed number of calls below which an organisation is dropped.
constexpr double kMinCalls = 0.01;

OrganisationUse::Use& UseOf(OrganisationUse& use,
                            const std::string& organisation,
                            TimePoint now) {
  if (now > use.m_decayed_at) {
    const double kept = std::exp(
        -std::chrono::duration<double>(now - use.m_decayed_at) / kUseDecay);
    for (auto& [name, each] : use.m_uses) {
      each.m_calls *= kept;
      each.m_seconds *= kept;
    }
    std::erase_if(use.m_uses, [](const auto& each) {
      return each.second.m_calls < kMinCalls;
    });
    use.m_decayed_at = now;
  }
  return use.m_uses[organisation];
}

}  // namespace

void NoteCall(OrganisationUse& use,
              const std::string& organisation,
              TimePoint now) {
  ++UseOf(use, organisation, now).m_calls;
}

void NoteTime(OrganisationUse& use,
              const std::string& organisation,
              Duration time,
              TimePoint now) {
  UseOf(use, organisation, now).m_seconds +=
      std::chrono::duration<double>(time).count();
}

double ShareOf(const OrganisationUse& use, const std::string& organisation) {
  double all = 0;
  for (const auto& [name, each] : use.m_uses)
    all += each.m_seconds;
  const auto found = use.m_uses.find(organisation);
  return found == use.m_uses.end() || all <= 0 ? 0
                                               : found->second.m_seconds / all;
}

std::string CounterLabel(const OrganisationUse& use,
                         const std::string& organisation) {
  const auto found = use.m_uses.find(organisation);
  const double own = found == use.m_uses.end() ? 0 : found->second.m_calls;
  const auto larger = std::count_if(
      use.m_uses.begin(), use.m_uses.end(),
      [own](const auto& each) { return each.second.m_calls > own; });
  return static_cast<size_t>(larger) < kCountedOrganisations
             ? organisation
             : kOtherOrganisations;
}

}  // namespace verbenalead::decide
