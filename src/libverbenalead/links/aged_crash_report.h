#ifndef VERBENALEAD_LINKS_AGED_CRASH_REPORT_H_
#define VERBENALEAD_LINKS_AGED_CRASH_REPORT_H_

#include "base/time.h"
#include "decide/health/crash_report.h"

namespace verbenalead::links {

/// A crash report in a message: processes have no common clock, so its time is
/// an age. `m_report.m_at` isn't sent.
struct AgedCrashReport {
  decide::CrashReport m_report;
  Duration m_age{};

  friend bool operator==(const AgedCrashReport&,
                         const AgedCrashReport&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_AGED_CRASH_REPORT_H_
