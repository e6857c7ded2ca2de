#ifndef VERBENALEAD_VLCTL_ANSWER_H_
#define VERBENALEAD_VLCTL_ANSWER_H_

#include <boost/json/object.hpp>
#include <string>

#include "base/failure.h"
#include "vlctl/exit_code.h"
#include "wire/response.h"

namespace verbenalead::vlctl {

/// Prints `sentence` to standard error, prefixed by the program's name.
/// Returns `code`, so that a command can report an error and return at once.
ExitCode PrintError(ExitCode code, const std::string& sentence);

/// Parses the JSON object in the body of `response` into `out`. Returns kOk for
/// a successful response. Otherwise prints the error to standard error and
/// returns the exit code that corresponds to the status of the response, or
/// kFailed if there was no response or its body is not a JSON object.
ExitCode ParseResponse(const AsyncResult<wire::Response>& response,
                       boost::json::object& out);

/// Formats `value` for terminal output: a string without quotes, anything else
/// as JSON.
std::string ToDisplayText(const boost::json::value& value);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_ANSWER_H_
