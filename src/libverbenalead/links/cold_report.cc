#include "links/cold_report.h"

#include <algorithm>

namespace verbenalead::links {
namespace {

/// Time for which an end of the cold time is reported that came before the
/// reported one, so that the loss of some datagrams loses no report.
constexpr Duration kEndReportLifetime = 5s;

}  // namespace

std::optional<ColdReport> ReportOf(const decide::ColdState& cold,
                                   TimePoint now) {
  const Duration age = std::max(Duration(), now - cold.m_observed_at);
  if (!cold.m_was_cold ||
      (!decide::IsCold(cold, now) && age > kEndReportLifetime))
    return std::nullopt;
  return ColdReport{std::max(Duration(), cold.m_until - now), cold.m_source,
                    cold.m_revision, age};
}

decide::ColdState FromReport(const ColdReport& report, TimePoint now) {
  return {now + report.m_left, report.m_source, report.m_revision,
          now - report.m_age, true};
}

}  // namespace verbenalead::links
