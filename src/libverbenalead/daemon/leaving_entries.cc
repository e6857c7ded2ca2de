#include "daemon/leaving_entries.h"

#include "base/log.h"

namespace verbenalead::daemon {
namespace {

constexpr char kLeavingPath[] = "/v1/leaving";
constexpr char kHostHeader[] = "x-host";
constexpr Duration kNoticeLifetime = std::chrono::minutes(1);
constexpr Duration kNoticeTimeout = 500ms;

Awaitable<void> Answer(LeavingEntries& leaving,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path != kLeavingPath) {
    co_await handler(request, writer);
    co_return;
  }
  const std::string host = wire::Get(request.m_headers, kHostHeader);
  LogLine("entry_leaving").With("entry", host).Info();
  leaving.Add(host);
  co_await writer.Send(wire::Response{200, {}, ""});
}

}  // namespace

void LeavingEntries::Add(const std::string& host) {
  std::lock_guard lock(m_mutex);
  m_announced_at[host] = Now();
}

bool LeavingEntries::Contains(const std::string& host) const {
  std::lock_guard lock(m_mutex);
  auto found = m_announced_at.find(host);
  return found != m_announced_at.end() &&
         Now() - found->second < kNoticeLifetime;
}

wire::Handler WithLeavingNotices(LeavingEntries& leaving,
                                 wire::Handler handler) {
  return [&leaving, handler = std::move(handler)](
             const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(leaving, handler, request, writer);
  };
}

Awaitable<void> NotifyLeaving(wire::Client& peers,
                              std::string host,
                              std::vector<model::Host> entries) {
  for (const model::Host& entry : entries) {
    if (entry.name() == host)
      continue;
    wire::Request request;
    request.m_method = "POST";
    request.m_path = kLeavingPath;
    request.m_headers[kHostHeader] = host;
    auto response = co_await wire::Fetch(
        peers, entry.peer(), std::move(request), Now() + kNoticeTimeout);
    if (!response)
      LogLine("leaving_not_told").With(response.error()).Warn();
  }
}

}  // namespace verbenalead::daemon
