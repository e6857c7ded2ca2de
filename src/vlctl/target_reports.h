#ifndef VERBENALEAD_VLCTL_TARGET_REPORTS_H_
#define VERBENALEAD_VLCTL_TARGET_REPORTS_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "model/target_report.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {

/// The targets of `pool` ("" for all) from the status of the entry.
ExitCode ReadTargets(const Context& context,
                     const std::string& pool,
                     boost::json::object& status,
                     std::vector<model::TargetReport>& targets);

/// Whether the target takes requests, in a word or two.
std::string StateOf(const model::TargetReport& report);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_TARGET_REPORTS_H_
