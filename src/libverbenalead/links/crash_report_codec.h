#ifndef VERBENALEAD_LINKS_CRASH_REPORT_CODEC_H_
#define VERBENALEAD_LINKS_CRASH_REPORT_CODEC_H_

#include <boost/json/value.hpp>
#include <vector>

#include "base/failure.h"
#include "links/aged_crash_report.h"

namespace verbenalead::links {

/// JSON form of crash reports, as a member of the message that carries them;
/// left out if there is none. Each report is an array without field names,
/// since a crash ends many calls and makes as many reports.
void EncodeCrashReports(boost::json::object& object,
                        const std::vector<AgedCrashReport>& reports);
Result<std::vector<AgedCrashReport>> DecodeCrashReports(
    const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_CRASH_REPORT_CODEC_H_
