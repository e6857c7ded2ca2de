#ifndef VERBENALEAD_VLCTL_ANSWERS_H_
#define VERBENALEAD_VLCTL_ANSWERS_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "model/target_report.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {

/// Tells `sentence` on standard error; returns `code`.
ExitCode Complain(ExitCode code, const std::string& sentence);

/// The JSON object in `response`, or the exit code for what went wrong, told on
/// standard error.
ExitCode ReadObject(const AsyncResult<wire::Response>& response,
                    boost::json::object& out);

/// `value` as it stands in a table.
std::string Show(const boost::json::value& value);

/// The targets of `pool` ("" for all) from the status of the entry.
ExitCode ReadTargets(const Context& context,
                     const std::string& pool,
                     boost::json::object& status,
                     std::vector<model::TargetReport>& targets);

/// Whether the target takes requests, in a word or two.
std::string StateOf(const model::TargetReport& report);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_ANSWERS_H_
