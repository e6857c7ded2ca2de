#ifndef VERBENALEAD_LINKS_PROCESS_SERVERS_H_
#define VERBENALEAD_LINKS_PROCESS_SERVERS_H_

#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/metrics.h"
#include "http/server.h"

namespace verbenalead::links {

/// Returns a handler that answers each request with `metrics` in the Prometheus
/// text format.
wire::Handler MetricsHandler(const Metrics& metrics);

/// Makes each server listen on its endpoint; a server with an empty endpoint is
/// skipped. Logs the first failure and returns false.
bool ListenAll(const std::vector<std::pair<http::Server*, Endpoint>>& servers);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PROCESS_SERVERS_H_
