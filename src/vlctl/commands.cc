#include "vlctl/commands.h"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "model/target_report.h"
#include "vlctl/answer.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

constexpr int kBarWidth = 30;

std::string Bar(uint64_t held, uint64_t total) {
  const int filled =
      total == 0 ? 0 : static_cast<int>(held * kBarWidth / total);
  return std::string(static_cast<size_t>(filled), '#') +
         std::string(static_cast<size_t>(kBarWidth - filled), '.');
}

/// The targets of `pool` ("" for all) from the status of the entry.
ExitCode ReadTargets(const Context& context,
                     const std::string& pool,
                     json::object& status,
                     std::vector<model::TargetReport>& targets) {
  const ExitCode code =
      ReadObject(context.m_client.Call("GET", "/v1/status"), status);
  if (code != kOk)
    return code;
  for (const json::value& value : status.at("targets").as_array()) {
    auto report = CatchFailure(
        [&] { return model::ParseTargetReport(json::serialize(value)); });
    if (report && (pool.empty() || report->m_pool == pool))
      targets.push_back(std::move(*report));
  }
  return kOk;
}

std::string StateOf(const model::TargetReport& report) {
  if (report.m_leaving)
    return "leaving";
  return report.m_open ? "serving" : "not serving";
}

}  // namespace

ExitCode RolloutStatus(const Context& context, const std::string& pool) {
  json::object status;
  std::vector<model::TargetReport> targets;
  const ExitCode code = ReadTargets(context, pool, status, targets);
  if (code != kOk)
    return code;
  if (targets.empty())
    return Complain(kNotFound, "no target of pool " + pool + " is known");
  uint64_t origin = 0;
  uint64_t peers = 0;
  for (const model::TargetReport& report : targets) {
    const bool loading = !report.m_loading.empty();
    const std::string bar =
        loading ? Bar(report.m_chunks_held, report.m_chunks_total) : Bar(1, 1);
    fmt::print("{:<16} [{}] {:<12} {}\n", report.m_name, bar,
               loading ? report.m_loading : report.m_version, StateOf(report));
    origin += report.m_origin_bytes;
    peers += report.m_peer_bytes;
  }
  fmt::print("bytes from the origin {}, from other hosts {}\n", origin, peers);
  return kOk;
}

ExitCode Drain(const Context& context, const std::string& target) {
  json::object answer;
  const ExitCode code =
      ReadObject(context.m_client.Call("POST", "/v1/drain/" + target), answer);
  if (code == kOk)
    fmt::print("{} takes nothing new\n", target);
  return code;
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
