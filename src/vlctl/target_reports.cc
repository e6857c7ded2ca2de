#include "vlctl/target_reports.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "vlctl/answer.h"

namespace verbenalead::vlctl {

namespace json = boost::json;

ExitCode ReadTargets(const CommandContext& context,
                     const std::string& pool,
                     json::object& status,
                     std::vector<model::TargetReport>& targets) {
  const ExitCode code =
      ParseResponse(context.m_client.Call("GET", "/v1/status"), status);
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

std::string StateLabel(const model::TargetReport& report) {
  if (report.m_leaving)
    return "leaving";
  return report.m_open ? "serving" : "not serving";
}

}  // namespace verbenalead::vlctl
