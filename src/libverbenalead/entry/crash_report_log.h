#ifndef VERBENALEAD_ENTRY_CRASH_REPORT_LOG_H_
#define VERBENALEAD_ENTRY_CRASH_REPORT_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "decide/health/crash_report.h"

namespace verbenalead::entry {

/// Crash reports that are sent again and again for a while, so that the loss of
/// some datagrams loses no report. Equal ones are kept once.
struct CrashReportLog {
  struct Item {
    decide::CrashReport m_report;
    /// When it was first added.
    TimePoint m_since{};
  };
  /// By kind, part and incarnation.
  std::map<std::tuple<decide::CrashReport::Kind, uint64_t, std::string>, Item>
      m_items;
};

/// Adds the reports, and removes those that were added too long ago. Returns
/// whether any is new.
bool AddReports(CrashReportLog& log,
                const std::vector<decide::CrashReport>& reports,
                TimePoint now);

/// The reports that are still being sent, the newest first.
std::vector<decide::CrashReport> ReportsToSend(const CrashReportLog& log,
                                               TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CRASH_REPORT_LOG_H_
