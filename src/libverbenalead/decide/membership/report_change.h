#ifndef VERBENALEAD_DECIDE_MEMBERSHIP_REPORT_CHANGE_H_
#define VERBENALEAD_DECIDE_MEMBERSHIP_REPORT_CHANGE_H_

#include <string>

#include "model/target_report.h"

namespace verbenalead::decide {

/// How urgently an entry needs a target's report, given the report that it has
/// seen.
enum class ReportChange {
  kNone,        ///< The entry has seen this report.
  kDeferrable,  ///< Load or byte counts changed: may wait until the poll ends.
  kUrgent,      ///< What the target accepts, serves or loads has changed.
};

/// Mark that identifies the content of `report`; the entry sends it with its
/// next poll. Transfer progress counts as urgent in steps of a tenth of a
/// version.
std::string ReportMarkOf(const model::TargetReport& report);

/// How urgent a report with `mark` is for an entry that has seen one with
/// `seen`.
///
/// Under load, the count of running attempts differs at each poll. If it were
/// urgent, each target would report at every poll, four times a second, and an
/// entry that watches 45 targets would receive 100 KB a second, where 8 KB are
/// allowed for control traffic. The count may be late: an entry knows its own
/// attempts at once, and those of other entries from the responses that pass
/// through it.
ReportChange CompareMarks(const std::string& mark, const std::string& seen);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_MEMBERSHIP_REPORT_CHANGE_H_
