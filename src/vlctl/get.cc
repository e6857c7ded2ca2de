#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/commands.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

void PrintResource(const json::object& item) {
  fmt::print("{:<10} {:<24} {:>8}  {}\n", ToDisplayText(item.at("kind")),
             ToDisplayText(item.at("name")), ToDisplayText(item.at("revision")),
             ToDisplayText(item.at("spec")));
}

}  // namespace

ExitCode Get(const CommandContext& context,
             const std::string& kind,
             const std::string& name) {
  wire::RequestTarget target("/v1/resources");
  if (!kind.empty())
    target.Segment(kind);
  if (!name.empty())
    target.Segment(name);
  json::object answer;
  const ExitCode code =
      ParseResponse(context.m_client.Call("GET", target.Build()), answer);
  if (code != kOk)
    return code;
  if (context.m_json) {
    std::cout << json::serialize(answer) << "\n";
    return kOk;
  }
  fmt::print("{:<10} {:<24} {:>8}  {}\n", "KIND", "NAME", "REVISION", "SPEC");
  if (!answer.contains("items")) {
    PrintResource(answer);
    return kOk;
  }
  for (const json::value& item : answer.at("items").as_array())
    PrintResource(item.as_object());
  return kOk;
}

}  // namespace verbenalead::vlctl
