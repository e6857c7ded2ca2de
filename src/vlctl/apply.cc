#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/new_id.h"
#include "vlctl/answer.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

AsyncResult<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return Failure{FailureCode::kNotFound, "read file", "", path};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

ExitCode ApplyOne(const Context& context,
                  const json::object& resource,
                  const std::string& operation) {
  if (!resource.contains("kind") || !resource.contains("name") ||
      !resource.contains("spec"))
    return Complain(kBadUse, "a resource needs kind, name and spec");
  wire::Headers headers{{"x-operation-id", operation},
                        {"x-operator", context.m_operator},
                        {"content-type", "application/json"}};
  if (resource.contains("revision"))
    headers["if-match"] = Show(resource.at("revision"));
  const std::string path = "/v1/resources/" + Show(resource.at("kind")) + "/" +
                           Show(resource.at("name"));
  json::object answer;
  const ExitCode code =
      ReadObject(context.m_client.Call("PUT", path, headers,
                                       json::serialize(resource.at("spec"))),
                 answer);
  if (code != kOk) {
    std::cerr << "vlctl: operation " << operation << "\n";
    return code;
  }
  if (context.m_json)
    std::cout << json::serialize(answer) << "\n";
  else
    fmt::print("{}/{} accepted at revision {}, held by {} other entries\n",
               Show(answer.at("kind")), Show(answer.at("name")),
               Show(answer.at("revision")), Show(answer.at("held_by")));
  return kOk;
}

}  // namespace

ExitCode Apply(const Context& context,
               const std::string& path,
               const std::string& operation) {
  auto text = ReadFile(path);
  if (!text)
    return Complain(kBadUse, ToString(text.error()));
  boost::system::error_code error;
  const json::value document = json::parse(*text, error);
  if (error)
    return Complain(kBadUse, path + " is not JSON: " + error.message());
  const json::array list =
      document.is_array() ? document.get_array() : json::array{document};
  const std::string base = operation.empty() ? NewId() : operation;
  size_t number = 0;
  for (const json::value& item : list) {
    if (!item.is_object())
      return Complain(kBadUse, "a resource must be a JSON object");
    const ExitCode code =
        ApplyOne(context, item.get_object(),
                 list.size() == 1 ? base : fmt::format("{}-{}", base, number));
    if (code != kOk)
      return code;
    ++number;
  }
  return kOk;
}

}  // namespace verbenalead::vlctl
