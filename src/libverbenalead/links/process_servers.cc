#include "links/process_servers.h"

#include "base/log.h"

namespace verbenalead::links {
namespace {

Awaitable<void> SendMetrics(const Metrics& metrics,
                            wire::ResponseWriter& caller) {
  wire::Response response;
  response.m_headers["content-type"] = "text/plain; version=0.0.4";
  response.m_body = metrics.Text();
  co_await caller.Send(std::move(response));
}

}  // namespace

wire::Handler MetricsHandler(const Metrics& metrics) {
  return [&metrics](const wire::Request&, wire::ResponseWriter& caller) {
    return SendMetrics(metrics, caller);
  };
}

bool ListenAll(const std::vector<std::pair<http::Server*, Endpoint>>& servers) {
  for (const auto& [server, endpoint] : servers) {
    if (endpoint.empty())
      continue;
    const auto listening = server->Listen(endpoint);
    if (!listening) {
      LogLine("cannot_listen").With(listening.error()).Error();
      return false;
    }
  }
  return true;
}

}  // namespace verbenalead::links
