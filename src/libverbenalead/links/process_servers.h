#ifndef VERBENALEAD_LINKS_PROCESS_SERVERS_H_
#define VERBENALEAD_LINKS_PROCESS_SERVERS_H_

#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/metrics.h"
#include "http/server.h"

namespace verbenalead::links {

/// Answers each request with `metrics` in the text format.
wire::Handler MetricsHandler(const Metrics& metrics);

/// Lets each server listen where it should; those without an address stay away.
/// False, with a log line, where one can't.
bool ListenAll(const std::vector<std::pair<http::Server*, Endpoint>>& servers);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PROCESS_SERVERS_H_
