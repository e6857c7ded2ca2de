#include "daemon/readiness.h"

#include <algorithm>

#include "base/log.h"
#include "front/problem.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

/// Retry-After of a refused call: a process fetches the newest configuration in
/// about a second.
constexpr Duration kRetryAfter = 1s;

/// Whether a request to `path` is new work: a call of a caller, or an attempt
/// that an entry sends to a target.
bool IsNewWork(const std::string& path) {
  constexpr std::string_view kWorkPaths[] = {"/v1/completions", "/v1/chat/",
                                             "/services/", "/v1/attempt"};
  return std::any_of(
      std::begin(kWorkPaths), std::end(kWorkPaths),
      [&](std::string_view start) { return path.starts_with(start); });
}

Awaitable<void> Refuse(wire::Request request, wire::ResponseWriter& writer) {
  front::Problem problem;
  problem.m_reason = "configuration_not_learned";
  problem.m_request = wire::Get(request.m_headers, peer::kRequestId);
  problem.m_retry_after = kRetryAfter;
  LogLine("call_refused")
      .With("request", problem.m_request)
      .With("peer", request.m_peer)
      .With("reason", problem.m_reason)
      .Info();
  wire::Response response = ToResponse(problem);
  co_await writer.Send(std::move(response));
}

}  // namespace

wire::Handler WithReadiness(std::function<bool()> ready,
                            wire::Handler handler) {
  return [ready = std::move(ready), handler = std::move(handler)](
             const wire::Request& request, wire::ResponseWriter& writer) {
    if (IsNewWork(wire::PathOf(request)) && !ready())
      return Refuse(request, writer);
    return handler(request, writer);
  };
}

}  // namespace verbenalead::daemon
