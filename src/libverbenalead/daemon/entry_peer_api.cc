#include "daemon/entry_peer_api.h"

#include <cstdlib>

#include "daemon/config_messages.h"

namespace verbenalead::daemon {
namespace {

constexpr std::string_view kTrace = "/v1/trace/";

wire::Response Respond(ConfigKeeper& config,
                       Journal& journal,
                       const wire::Request& request) {
  const std::string path = wire::PathOf(request);
  if (path == "/v1/config") {
    const uint64_t after =
        std::strtoull(wire::QueryValue(request, "after").c_str(), nullptr, 10);
    return wire::JsonResponse(200, ConfigSince(config, after));
  }
  if (path.starts_with(kTrace)) {
    std::string body;
    for (const std::string& line : journal.Find(path.substr(kTrace.size())))
      body += line + "\n";
    return {200, {}, std::move(body)};
  }
  return {404, {}, "unknown path"};
}

Awaitable<void> Answer(ConfigKeeper& config,
                       Journal& journal,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  co_await writer.Send(Respond(config, journal, request));
}

}  // namespace

wire::Handler MakeEntryPeerApi(ConfigKeeper& config, Journal& journal) {
  return [&config, &journal](const wire::Request& request,
                             wire::ResponseWriter& writer) {
    return Answer(config, journal, request, writer);
  };
}

}  // namespace verbenalead::daemon
