#include "entry/crash_report_log.h"

#include <algorithm>

namespace verbenalead::entry {
namespace {

/// Time for which a report is sent again.
constexpr Duration kReportLifetime = 3s;

}  // namespace

bool AddReports(CrashReportLog& log,
                const std::vector<decide::CrashReport>& reports,
                TimePoint now) {
  std::erase_if(log.m_items, [now](const auto& item) {
    return now - item.second.m_since >= kReportLifetime;
  });
  bool is_new = false;
  for (const decide::CrashReport& report : reports) {
    const auto [found, added] = log.m_items.try_emplace(
        {report.m_kind, report.m_part, report.m_incarnation},
        CrashReportLog::Item{report, now});
    is_new |= added;
    if (!added && found->second.m_report < report)
      found->second.m_report = report;
  }
  return is_new;
}

std::vector<decide::CrashReport> ReportsToSend(const CrashReportLog& log,
                                               TimePoint now) {
  std::vector<decide::CrashReport> reports;
  for (const auto& [key, item] : log.m_items) {
    if (now - item.m_since < kReportLifetime)
      reports.push_back(item.m_report);
  }
  std::sort(reports.begin(), reports.end(),
            [](const decide::CrashReport& a, const decide::CrashReport& b) {
              return a.m_at > b.m_at;
            });
  return reports;
}

}  // namespace verbenalead::entry
