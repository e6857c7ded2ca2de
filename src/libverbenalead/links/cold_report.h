#ifndef VERBENALEAD_LINKS_COLD_REPORT_H_
#define VERBENALEAD_LINKS_COLD_REPORT_H_

#include <optional>

#include "decide/limits/cold_state.h"

namespace verbenalead::links {

/// What the sender of a message knows of how long a replica is cold. It carries
/// times relative to the message, as processes have no common clock.
struct ColdReport {
  /// Zero: it is no longer cold.
  Duration m_left{};
  decide::ColdSource m_source = decide::ColdSource::kPresumed;
  model::Revision m_revision;
  /// Age of the observation.
  Duration m_age{};

  friend bool operator==(const ColdReport&, const ColdReport&) = default;
};

/// The report of `cold`, or nothing if the replica hasn't been cold, or was
/// seen to be warm so long ago that every process has heard of it.
std::optional<ColdReport> ReportOf(const decide::ColdState& cold,
                                   TimePoint now);
decide::ColdState FromReport(const ColdReport& report, TimePoint now);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_COLD_REPORT_H_
