#include <boost/json.hpp>
#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/commands.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {

namespace json = boost::json;

ExitCode Trace(const CommandContext& context, const std::string& request) {
  json::object answer;
  const ExitCode code = ParseResponse(
      context.m_client.Call(
          "GET", wire::RequestTarget("/v1/trace").Segment(request).Build()),
      answer);
  if (code != kOk)
    return code;
  if (context.m_json) {
    std::cout << json::serialize(answer) << "\n";
    return kOk;
  }
  std::cout << ToDisplayText(answer.at("summary")) << "\n";
  for (const json::value& line : answer.at("lines").as_array())
    std::cout << ToDisplayText(line) << "\n";
  return kOk;
}

}  // namespace verbenalead::vlctl
