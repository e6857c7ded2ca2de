#include "vlctl/answer.h"

#include <boost/json.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

ExitCode ExitCodeFor(int status) {
  switch (status) {
    case 200:
    case 202:
      return kOk;
    case 400:
      return kUsageError;
    case 404:
      return kNotFound;
    case 409:
      return kConflict;
    case 504:
      return kUnknown;
    default:
      return kFailed;
  }
}

}  // namespace

ExitCode PrintError(ExitCode code, const std::string& sentence) {
  std::cerr << "vlctl: " << sentence << "\n";
  return code;
}

ExitCode ParseResponse(const AsyncResult<wire::Response>& response,
                       json::object& out) {
  if (!response)
    return PrintError(kFailed, ToString(response.error()));
  auto object = CatchFailure(
      [&] { return model::ParseObject(response->m_body, "answer"); });
  if (!object)
    return PrintError(kFailed, ToString(object.error()));
  out = std::move(*object);
  if (ExitCodeFor(response->m_status) == kOk)
    return kOk;
  return PrintError(ExitCodeFor(response->m_status),
                    out.contains("error")
                        ? json::value_to<std::string>(out.at("error"))
                        : "status " + std::to_string(response->m_status));
}

std::string ToDisplayText(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

}  // namespace verbenalead::vlctl
