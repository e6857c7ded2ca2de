#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/new_id.h"
#include "model/resource_key.h"
#include "vlctl/answer.h"
#include "vlctl/commands.h"
#include "wire/request_target.h"

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

ExitCode ApplyOne(const CommandContext& context,
                  const json::object& resource,
                  const std::string& operation) {
  if (!resource.contains("kind") || !resource.contains("name") ||
      !resource.contains("spec"))
    return PrintError(kUsageError, "a resource needs kind, name and spec");
  wire::Headers headers{{"x-operation-id", operation},
                        {"x-operator", context.m_operator},
                        {"content-type", "application/json"}};
  if (resource.contains("revision"))
    headers["if-match"] = ToDisplayText(resource.at("revision"));
  const std::string path = wire::RequestTarget("/v1/resources")
                               .Segment(ToDisplayText(resource.at("kind")))
                               .Segment(ToDisplayText(resource.at("name")))
                               .Build();
  json::object answer;
  const ExitCode code =
      ParseResponse(context.m_client.Call("PUT", path, headers,
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
               ToDisplayText(answer.at("kind")),
               ToDisplayText(answer.at("name")),
               ToDisplayText(answer.at("revision")),
               ToDisplayText(answer.at("held_by")));
  return kOk;
}

/// Index of the kind of `resource` in the order of declaration, in which each
/// kind comes after the kinds that its resources refer to. Unknown kinds come
/// last.
size_t DeclarationOrder(const json::object& resource) {
  const json::value* kind = resource.if_contains("kind");
  const std::string name = kind != nullptr ? ToDisplayText(*kind) : "";
  const std::vector<std::string>& kinds = model::ResourceKinds();
  return static_cast<size_t>(std::find(kinds.begin(), kinds.end(), name) -
                             kinds.begin());
}

}  // namespace

ExitCode Apply(const CommandContext& context,
               const std::string& path,
               const std::string& operation) {
  auto text = ReadFile(path);
  if (!text)
    return PrintError(kUsageError, ToString(text.error()));
  boost::system::error_code error;
  const json::value document = json::parse(*text, error);
  if (error)
    return PrintError(kUsageError, path + " is not JSON: " + error.message());
  const json::array list =
      document.is_array() ? document.get_array() : json::array{document};
  const std::string base = operation.empty() ? NewId() : operation;
  std::vector<json::object> resources;
  for (const json::value& item : list) {
    if (!item.is_object())
      return PrintError(kUsageError, "a resource must be a JSON object");
    resources.push_back(item.get_object());
  }
  // Declares a resource before those that refer to it, so that the order of the
  // resources in the file does not matter.
  std::stable_sort(resources.begin(), resources.end(),
                   [](const json::object& a, const json::object& b) {
                     return DeclarationOrder(a) < DeclarationOrder(b);
                   });
  size_t number = 0;
  for (const json::object& resource : resources) {
    const ExitCode code =
        ApplyOne(context, resource,
                 list.size() == 1 ? base : fmt::format("{}-{}", base, number));
    if (code != kOk)
      return code;
    ++number;
  }
  return kOk;
}

}  // namespace verbenalead::vlctl
