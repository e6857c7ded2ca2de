#include "daemon/entry_peer_api.h"

#include <algorithm>
#include <cstdlib>

#include "base/catch_failure.h"
#include "daemon/config_messages.h"
#include "peer/header_names.h"
#include "wire/request_target.h"

namespace verbenalead::daemon {
namespace {

constexpr std::string_view kTracePrefix = "/v1/trace/";

/// Longest time by which the answer to a request for changes is delayed.
constexpr uint64_t kMaxHoldMs = 30000;

/// Greatest age of a read of the table whose result still counts as current.
constexpr Duration kMaxReadAge = 500ms;

uint64_t NumberIn(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

/// Answers at once if there are changes after the requested revision; otherwise
/// when a change arrives or the hold time of the request has passed.
Awaitable<wire::Response> GetConfig(EntryPeerContext context,
                                    wire::Request request) {
  const uint64_t after = NumberIn(request, "after");
  const bool must_be_current = NumberIn(request, "fresh") != 0;
  if (must_be_current &&
      Now() - context.m_config->last_read_at() >= kMaxReadAge) {
    auto ignored = co_await context.m_config->CatchUp();
    (void)ignored;
  }
  const auto hold = std::chrono::milliseconds(
      std::min(NumberIn(request, "hold_ms"), kMaxHoldMs));
  co_await context.m_config->WaitForRevisionAfter(after, Now() + hold);
  // A process that has not fetched the newest configuration, or has lost
  // contact, must not answer: the peer would take an empty answer as proof that
  // its own configuration is the newest.
  if (!context.m_ready())
    co_return wire::Response{503, {}, "not ready"};
  wire::Response response =
      wire::JsonResponse(200, SerialiseConfigAfter(*context.m_config, after));
  // A read less than kMaxReadAge ago counts as current. So when all processes
  // start at once, each entry that they query reads the table at most twice a
  // second.
  if (Now() - context.m_config->last_read_at() < kMaxReadAge)
    response.m_headers[peer::kFromTable] = "true";
  co_return response;
}

wire::Response PostConfig(const EntryPeerContext& context,
                          const wire::Request& request) {
  auto applied = CatchFailure(
      [&] { return ApplyConfig(*context.m_config, request.m_body); });
  const uint64_t revision = context.m_config->current()->m_revision;
  // A process that has not fetched the newest configuration yet applies the
  // changes too, but answers 503, so that the sender doesn't count it among the
  // processes that hold them.
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
         context.m_journal->Find(wire::NameAfter(path, kTracePrefix)))
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
