#ifndef VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_USE_H_
#define VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_USE_H_

#include <map>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// What each organisation has used lately of a service through one entry. It
/// decides nothing; it tells an operator who used the capacity when an
/// organisation complains.
struct OrganisationUse {
  /// Calls, and replica time in seconds of those that got a slot; decayed
  /// exponentially with kUseDecay.
  struct Use {
    double m_calls = 0;
    double m_seconds = 0;

    friend bool operator==(const Use&, const Use&) = default;
  };

  std::map<std::string, Use> m_uses;
  TimePoint m_decayed_at{};
};

constexpr Duration kUseDecay = 10s;
/// Number of organisations that have counters of their own.
constexpr size_t kCountedOrganisations = 20;
/// Label of the counters of all others.
constexpr char kOtherOrganisations[] = "(others)";

void NoteCall(OrganisationUse& use,
              const std::string& organisation,
              TimePoint now);
void NoteTime(OrganisationUse& use,
              const std::string& organisation,
              Duration time,
              TimePoint now);

/// Share of the organisation in the replica time that was used lately.
double ShareOf(const OrganisationUse& use, const std::string& organisation);

/// The organisation if it is one of the kCountedOrganisations with the most
/// calls, otherwise kOtherOrganisations.
std::string CounterLabel(const OrganisationUse& use,
                         const std::string& organisation);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_USE_H_
