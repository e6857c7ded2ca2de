#include "daemon/entry_peer_api.h"

#include <algorithm>
#include <cstdlib>

#include "base/catch_failure.h"
#include "daemon/config_messages.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

constexpr std::string_view kTracePrefix = "/v1/trace/";

/// Longest time that a question for news is held back.
constexpr uint64_t kMaxHoldMs = 30000;

/// Age at which a read of the table still stands for the newest.
constexpr Duration kMaxReadAge = 500ms;

uint64_t NumberIn(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

/// Answers at once if there is news, and else when it comes or the asker's
/// patience is at its end.
Awaitable<wire::Response> GetConfig(EntryPeerContext context,
                                    wire::Request request) {
  const uint64_t after = NumberIn(request, "after");
  const bool must_be_current = NumberIn(request, "fresh") != 0;
  if (must_be_current && Now() - context.m_config->read_at() >= kMaxReadAge) {
    auto ignored = co_await context.m_config->CatchUp();
    (void)ignored;
  }
  const auto hold = std::chrono::milliseconds(
      std::min(NumberIn(request, "hold_ms"), kMaxHoldMs));
  co_await context.m_config->WaitBeyond(after, Now() + hold);
  // A process that has not learned the newest, or is cut off, is no source:
  // whoever relied on it would take silence for "nothing new".
  if (!context.m_ready())
    co_return wire::Response{503, {}, "not ready"};
  wire::Response response =
      wire::JsonResponse(200, ConfigSince(*context.m_config, after));
  // Read just now is new enough, so that a fleet that starts at once costs the
  // table two reads a second for each entry it asks.
  if (Now() - context.m_config->read_at() < kMaxReadAge)
    response.m_headers[peer::kFromTable] = "true";
  co_return response;
}

wire::Response PostConfig(const EntryPeerContext& context,
                          const wire::Request& request) {
  auto applied = CatchFailure(
      [&] { return TakeConfig(*context.m_config, request.m_body); });
  const uint64_t revision = context.m_config->current()->m_revision;
  // One that is still learning may forget nothing it was told, but can't yet
  // vouch for it.
  const int status = !applied ? 400 : context.m_ready() ? 200 : 503;
  return {status, {}, std::to_string(revision)};
}

Awaitable<wire::Response> Respond(EntryPeerContext context,
                                  wire::Request request) {
  const std::string path = wire::PathOf(request);
  if (path == "/v1/config" && request.m_method == "POST")
    co_return PostConfig(context, request);
  if (path == "/v1/config")
    co_return co_await GetConfig(context, std::move(request));
  if (path.starts_with(kTracePrefix)) {
    std::string body;
    for (const std::string& line :
         context.m_journal->Find(path.substr(kTracePrefix.size())))
      body += line + "\n";
    co_return wire::Response{200, {}, std::move(body)};
  }
  co_return wire::Response{404, {}, "unknown path"};
}

Awaitable<void> Answer(EntryPeerContext context,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  wire::Response response = co_await Respond(std::move(context), request);
  co_await writer.Send(std::move(response));
}

}  // namespace

wire::Handler MakeEntryPeerApi(EntryPeerContext context) {
  return [context](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(context, request, writer);
  };
}

}  // namespace verbenalead::daemon
