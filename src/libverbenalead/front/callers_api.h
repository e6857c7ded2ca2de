#ifndef VERBENALEAD_FRONT_CALLERS_API_H_
#define VERBENALEAD_FRONT_CALLERS_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decide/config/config.h"
#include "front/call_runner.h"

namespace verbenalead::front {

/// Functions and objects of the daemon that the callers' API uses.
struct CallersContext {
  std::function<std::shared_ptr<const decide::ConfigState>()> m_config;
  /// Generates a request id.
  std::function<std::string()> m_new_id;
  /// Returns the addresses that callers may use now, "IP:port" each.
  std::function<std::vector<std::string>()> m_entries;
  std::function<bool()> m_stopping;
  std::function<std::string()> m_metrics;
  CallRunner* m_runner = nullptr;
};

/// How long a caller may cache the list of entries.
constexpr Duration kEntriesTtl = 5s;

/// The callers' HTTP API: `POST /v1/completions`, `/services/NAME/...`,
/// `GET /v1/entries` (which addresses to use and for how long), `GET /healthz`
/// and `GET /metrics`.
wire::Handler MakeCallersApi(CallersContext context);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_CALLERS_API_H_
