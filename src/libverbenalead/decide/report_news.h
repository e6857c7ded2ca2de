#ifndef VERBENALEAD_DECIDE_REPORT_NEWS_H_
#define VERBENALEAD_DECIDE_REPORT_NEWS_H_

#include <string>

#include "model/target_report.h"

namespace verbenalead::decide {

/// Whether a target's report is news to an entry.
enum class ReportNews {
  kNone,    ///< It is what the entry has seen.
  kLater,   ///< Load or bytes have moved: may wait until the question ends.
  kUrgent,  ///< What the target takes, serves or loads has changed.
};

/// Names the content of `report` for the next question. Progress counts as
/// urgent by tenths of a version.
std::string MarkOf(const model::TargetReport& report);

/// What a report with `mark` is to an entry that has seen one with `seen`.
///
/// Made for targets under load, whose count of running attempts is another one
/// each time. Were that urgent, each would report with every poll, four times a
/// second; an entry that watches 45 targets would take in 100 KB a second,
/// where 8 KB are allowed for control. The entry knows its own attempts at once
/// and the others' from the answers that pass through it, so the report's count
/// may be late.
ReportNews NewsOf(const std::string& mark, const std::string& seen);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REPORT_NEWS_H_
