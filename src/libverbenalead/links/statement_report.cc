#include "links/statement_report.h"

namespace verbenalead::links {

StatementReport ReportOf(const decide::KnownStatements& known,
                         uint64_t started_ms,
                         TimePoint now) {
  StatementReport report;
  report.m_rate_limit = ReportOf(known.m_rate_limit, now);
  report.m_cold = ReportOf(known.m_cold, now);
  if (report.m_rate_limit || report.m_cold)
    report.m_started_ms = started_ms;
  if (known.m_leaving)
    report.m_leaving = started_ms;
  return report;
}

}  // namespace verbenalead::links
