#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

void PrintResource(const json::object& item) {
  fmt::print("{:<10} {:<24} {:>8}  {}\n", Show(item.at("kind")),
             Show(item.at("name")), Show(item.at("revision")),
             Show(item.at("spec")));
}

}  // namespace

ExitCode Get(const Context& context,
             const std::string& kind,
             const std::string& name) {
  std::string path = "/v1/resources";
  if (!kind.empty())
    path += "/" + kind;
  if (!name.empty())
    path += "/" + name;
  json::object answer;
  const ExitCode code = ReadObject(context.m_client.Call("GET", path), answer);
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
