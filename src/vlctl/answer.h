#ifndef VERBENALEAD_VLCTL_ANSWER_H_
#define VERBENALEAD_VLCTL_ANSWER_H_

#include <boost/json/object.hpp>
#include <string>

#include "base/failure.h"
#include "vlctl/exit_code.h"
#include "wire/response.h"

namespace verbenalead::vlctl {

/// Writes `sentence` on standard error. Returns `code`.
ExitCode Complain(ExitCode code, const std::string& sentence);

/// The JSON object in `response`, or the exit code for what went wrong, told on
/// standard error.
ExitCode ReadObject(const AsyncResult<wire::Response>& response,
                    boost::json::object& out);

/// `value` for people: a text without quotes.
std::string Show(const boost::json::value& value);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_ANSWER_H_
