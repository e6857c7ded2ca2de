#include "vlctl/commands.h"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/target_reports.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {

namespace json = boost::json;

ExitCode Drain(const CommandContext& context, const std::string& target) {
  json::object answer;
  const ExitCode code = ParseResponse(
      context.m_client.Call(
          "POST", wire::RequestTarget("/v1/drain").Segment(target).Build()),
      answer);
  if (code == kOk)
    fmt::print("{} takes nothing new\n", target);
  return code;
}

ExitCode Status(const CommandContext& context) {
  json::object status;
  std::vector<model::TargetReport> targets;
  const ExitCode code = ReadTargets(context, "", status, targets);
  if (code != kOk)
    return code;
  if (context.m_json) {
    std::cout << json::serialize(status) << "\n";
    return kOk;
  }
  fmt::print("entry {} at revision {}\n", ToDisplayText(status.at("host")),
             ToDisplayText(status.at("revision")));
  fmt::print("{:<16} {:<12} {:<12} {:<12} {:>8} {:>8}\n", "TARGET", "POOL",
             "STATE", "VERSION", "REVISION", "RUNNING");
  for (const model::TargetReport& report : targets)
    fmt::print("{:<16} {:<12} {:<12} {:<12} {:>8} {:>8}\n", report.m_name,
               report.m_pool, StateLabel(report), report.m_version,
               report.m_revision, report.m_running);
  return kOk;
}

}  // namespace verbenalead::vlctl
