#include "vlctl/commands.h"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/catch_failure.h"
#include "base/new_id.h"
#include "model/json_fields.h"
#include "model/target_report.h"
#include "vlctl/answers.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

void PrintResource(const json::object& item) {
  fmt::print("{:<10} {:<24} {:>8}  {}\n", Show(item.at("kind")),
             Show(item.at("name")), Show(item.at("revision")),
             Show(item.at("spec")));
}

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

ExitCode Delete(const Context& context,
                const std::string& kind,
                const std::string& name,
                const std::string& operation) {
  const wire::Headers headers{
      {"x-operation-id", operation.empty() ? NewId() : operation},
      {"x-operator", context.m_operator}};
  json::object answer;
  const ExitCode code =
      ReadObject(context.m_client.Call(
                     "DELETE", "/v1/resources/" + kind + "/" + name, headers),
                 answer);
  if (code == kOk)
    fmt::print("{}/{} deleted at revision {}\n", kind, name,
               Show(answer.at("revision")));
  return code;
}

ExitCode Watch(const Context& context,
               std::optional<uint64_t> revision,
               uint64_t count) {
  std::string path = "/v1/watch";
  if (revision)
    path += "?after=" + std::to_string(*revision);
  uint64_t seen = 0;
  auto done = context.m_client.Follow(path, [&](const std::string& line) {
    std::cout << line << std::endl;
    return count == 0 || ++seen < count;
  });
  return done ? kOk : Complain(kFailed, ToString(done.error()));
}

ExitCode Drain(const Context& context, const std::string& target) {
  json::object answer;
  const ExitCode code =
      ReadObject(context.m_client.Call("POST", "/v1/drain/" + target), answer);
  if (code == kOk)
    fmt::print("{} takes nothing new\n", target);
  return code;
}

ExitCode Trace(const Context& context, const std::string& request) {
  json::object answer;
  const ExitCode code =
      ReadObject(context.m_client.Call("GET", "/v1/trace/" + request), answer);
  if (code != kOk)
    return code;
  if (context.m_json) {
    std::cout << json::serialize(answer) << "\n";
    return kOk;
  }
  std::cout << Show(answer.at("summary")) << "\n";
  for (const json::value& line : answer.at("lines").as_array())
    std::cout << Show(line) << "\n";
  return kOk;
}

ExitCode Status(const Context& context) {
  json::object status;
  std::vector<model::TargetReport> targets;
  const ExitCode code = ReadTargets(context, "", status, targets);
  if (code != kOk)
    return code;
  if (context.m_json) {
    std::cout << json::serialize(status) << "\n";
    return kOk;
  }
  fmt::print("entry {} at revision {}\n", Show(status.at("host")),
             Show(status.at("revision")));
  fmt::print("{:<16} {:<12} {:<12} {:<12} {:>8} {:>8}\n", "TARGET", "POOL",
             "STATE", "VERSION", "REVISION", "RUNNING");
  for (const model::TargetReport& report : targets)
    fmt::print("{:<16} {:<12} {:<12} {:<12} {:>8} {:>8}\n", report.m_name,
               report.m_pool, StateOf(report), report.m_version,
               report.m_revision, report.m_running);
  return kOk;
}

}  // namespace verbenalead::vlctl
