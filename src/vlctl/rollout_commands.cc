#include "vlctl/rollout_commands.h"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>

#include "base/catch_failure.h"
#include "base/new_id.h"
#include "model/json_fields.h"
#include "vlctl/answer.h"
#include "vlctl/target_reports.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {
namespace {

namespace json = boost::json;

constexpr int kBarWidth = 30;

std::string ProgressBar(uint64_t held, uint64_t total) {
  const int filled =
      total == 0 ? 0 : static_cast<int>(held * kBarWidth / total);
  return std::string(static_cast<size_t>(filled), '#') +
         std::string(static_cast<size_t>(kBarWidth - filled), '.');
}

void PrintHost(const model::TargetReport& report) {
  const bool loading = !report.m_loading_version.empty();
  const std::string bar =
      loading ? ProgressBar(report.m_chunks_held, report.m_chunks_total)
              : ProgressBar(1, 1);
  std::string stage = report.m_stage;
  if (!report.m_reason.empty())
    stage += ": " + report.m_reason;
  fmt::print("{:<16} [{}] {:<16} {:<12} {}\n", report.m_name, bar,
             loading ? report.m_loading_version : report.m_version,
             StateLabel(report), stage);
}

json::object HostToJson(const model::TargetReport& report) {
  return {{"host", report.m_name},
          {"stage", report.m_stage},
          {"reason", report.m_reason},
          {"serving", report.m_open},
          {"in_force", report.m_version},
          {"loading", report.m_loading_version},
          {"chunks_held", report.m_chunks_held},
          {"chunks_total", report.m_chunks_total},
          {"origin_bytes", report.m_origin_bytes},
          {"peer_bytes", report.m_peer_bytes}};
}

/// The spec of a pool and the revision at which it was written.
struct PoolSpec {
  json::object m_spec;
  std::string m_revision;
};

std::string PoolTarget(const std::string& pool) {
  return wire::RequestTarget("/v1/resources")
      .Segment("pool")
      .Segment(pool)
      .Build();
}

ExitCode ReadPool(const CommandContext& context,
                  const std::string& pool,
                  PoolSpec& out) {
  json::object answer;
  const ExitCode code =
      ParseResponse(context.m_client.Call("GET", PoolTarget(pool)), answer);
  if (code != kOk)
    return code;
  if (!answer.contains("spec") || !answer.at("spec").is_object())
    return PrintError(kFailed, "the entry's answer has no spec");
  out.m_spec = answer.at("spec").get_object();
  out.m_revision = ToDisplayText(answer.at("revision"));
  return kOk;
}

/// Writes the spec by compare-and-swap: the entry refuses the write if the pool
/// has changed since `spec` was read.
ExitCode WritePool(const CommandContext& context,
                   const std::string& pool,
                   const PoolSpec& spec) {
  const wire::Headers headers{{"x-operation-id", NewId()},
                              {"x-operator", context.m_operator},
                              {"if-match", spec.m_revision},
                              {"content-type", "application/json"}};
  json::object answer;
  const ExitCode code =
      ParseResponse(context.m_client.Call("PUT", PoolTarget(pool), headers,
                                          json::serialize(spec.m_spec)),
                    answer);
  if (code != kOk)
    return code;
  if (context.m_json)
    std::cout << json::serialize(answer) << "\n";
  else
    fmt::print("pool/{} accepted at revision {}\n", pool,
               ToDisplayText(answer.at("revision")));
  return kOk;
}

std::string VersionOf(const json::value* spec) {
  if (spec == nullptr || !spec->is_object())
    return "";
  const json::value* version = spec->get_object().if_contains("version");
  return version != nullptr && version->is_string() ? ToDisplayText(*version)
                                                    : "";
}

/// Reads the retained history of changes up to revision `last` and sets `out`
/// to the most recent version of `pool` other than `current`.
ExitCode FindPreviousVersion(const CommandContext& context,
                             const std::string& pool,
                             const std::string& current,
                             uint64_t last,
                             std::string& out) {
  auto followed = context.m_client.StreamLines(
      "/v1/watch?after=0", [&](const std::string& line) {
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        if (error || !value.is_object())
          return true;
        const json::object& change = value.get_object();
        const std::string version = VersionOf(change.if_contains("spec"));
        if (ToDisplayText(change.at("kind")) == "pool" &&
            ToDisplayText(change.at("name")) == pool && !version.empty() &&
            version != current)
          out = version;
        return ToDisplayText(change.at("revision")) != std::to_string(last);
      });
  if (!followed || out.empty()) {
    return PrintError(kNotFound, "no earlier version of pool " + pool +
                                     " is remembered; name it with --to");
  }
  return kOk;
}

}  // namespace

ExitCode RolloutStatus(const CommandContext& context, const std::string& pool) {
  json::object status;
  std::vector<model::TargetReport> targets;
  const ExitCode code = ReadTargets(context, pool, status, targets);
  if (code != kOk)
    return code;
  if (targets.empty())
    return PrintError(kNotFound, "no target of pool " + pool + " is known");
  uint64_t origin = 0;
  uint64_t peers = 0;
  json::array hosts;
  for (const model::TargetReport& report : targets) {
    if (!context.m_json)
      PrintHost(report);
    hosts.push_back(HostToJson(report));
    origin += report.m_origin_bytes;
    peers += report.m_peer_bytes;
  }
  if (context.m_json) {
    std::cout << json::serialize(json::object{{"pool", pool},
                                              {"hosts", std::move(hosts)},
                                              {"origin_bytes", origin},
                                              {"peer_bytes", peers}})
              << "\n";
  } else {
    fmt::print("bytes from the origin {}, from other hosts {}\n", origin,
               peers);
  }
  return kOk;
}

ExitCode RolloutPause(const CommandContext& context,
                      const std::string& pool,
                      bool paused) {
  PoolSpec spec;
  const ExitCode code = ReadPool(context, pool, spec);
  if (code != kOk)
    return code;
  json::value& rollout = spec.m_spec["rollout"];
  if (!rollout.is_object())
    rollout = json::object();
  rollout.get_object()["paused"] = paused;
  return WritePool(context, pool, spec);
}

ExitCode RolloutUndo(const CommandContext& context,
                     const std::string& pool,
                     const std::string& version) {
  PoolSpec spec;
  ExitCode code = ReadPool(context, pool, spec);
  if (code != kOk)
    return code;
  std::string previous = version;
  if (previous.empty()) {
    const json::value current_spec(spec.m_spec);
    const std::string current = VersionOf(&current_spec);
    code = FindPreviousVersion(
        context, pool, current,
        std::strtoull(spec.m_revision.c_str(), nullptr, 10), previous);
    if (code != kOk)
      return code;
  }
  spec.m_spec["version"] = previous;
  return WritePool(context, pool, spec);
}

}  // namespace verbenalead::vlctl
