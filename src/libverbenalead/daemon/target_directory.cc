#include "daemon/target_directory.h"

#include <boost/asio/this_coro.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "peer/header_names.h"
#include "wire/request_target.h"

namespace verbenalead::daemon {
namespace {

constexpr Duration kReportTimeout = 1s;
/// How long a target delays its answer while nothing changes. Less than
/// decide::kMaxReportAge, the age after which a report no longer shows that its
/// target is alive, so that an idle target stays in use.
constexpr Duration kHold = 1500ms;
constexpr int kPollsPerHostList = 4;
constexpr int kUnchanged = 204;

}  // namespace

Awaitable<void> TargetDirectory::Run() {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int round = 0;; ++round) {
    if (round % kPollsPerHostList == 0) {
      co_await m_hosts.Refresh();
      std::vector<model::Host> hosts = m_hosts.All();
      if (hosts != m_listed_hosts)
        decide::SetHosts(m_members, hosts);
      m_listed_hosts = std::move(hosts);
    }
    for (const model::Host& host : decide::TargetsToWatch(m_members, Now())) {
      if (host.leaving())
        MarkLeaving(host);
      bool& request_pending = m_watched[host.name()].m_request_pending;
      if (request_pending)
        continue;
      request_pending = true;
      Spawn(executor, RequestReport(host), "ask_target");
    }
    for (PoolRouter* router : m_routers.All())
      router->Tick();
    co_await Sleep(m_poll);
  }
}

/// Marks a target as leaving as soon as the host list does. The report of the
/// target may show it later, since its answer may be delayed; meanwhile no new
/// calls must be sent there.
void TargetDirectory::MarkLeaving(const model::Host& host) {
  WatchedTarget& known = m_watched[host.name()];
  if (known.m_report.m_name.empty() || known.m_report.m_leaving)
    return;
  known.m_report.m_leaving = true;
  m_routers.Get(known.m_report.m_pool).ApplyReport(known.m_report);
}

Awaitable<void> TargetDirectory::RequestReport(model::Host host) {
  wire::Request request;
  request.m_path =
      wire::RequestTarget("/v1/status")
          .Field("hold_ms", static_cast<uint64_t>(ToMilliseconds(kHold)))
          .Field("seen", m_watched[host.name()].m_report_mark)
          .Build();
  auto response = co_await wire::Fetch(m_peers, host.peer(), std::move(request),
                                       Now() + kHold + kReportTimeout);
  m_watched[host.name()].m_request_pending = false;
  if (response) {
    HandleReport(host, *response);
    co_return;
  }
  // Without a mark the target answers the next request at once. A delayed
  // answer would not show in time whether the target is alive.
  m_watched[host.name()].m_report_mark.clear();
  LogLine("target_silent")
      .With("target", host.name())
      .With(response.error())
      .Debug();
}

void TargetDirectory::HandleReport(const model::Host& host,
                                   const wire::Response& response) {
  WatchedTarget& known = m_watched[host.name()];
  if (response.m_status != kUnchanged) {
    auto report =
        CatchFailure([&] { return model::ParseTargetReport(response.m_body); });
    if (!report) {
      LogLine("target_report_bad")
          .With("target", host.name())
          .With(report.error())
          .Warn();
      return;
    }
    known.m_report = std::move(*report);
    known.m_report_mark = wire::Get(response.m_headers, peer::kReportMark);
  }
  known.m_report.m_leaving |= host.leaving();
  // The address comes from the host list: the target only has the address that
  // it binds, which other hosts may not be able to reach.
  known.m_report.m_peer = host.peer();
  decide::RecordAnswer(m_members, host.name(), Now());
  m_config.RecordContact(known.m_report.m_revision);
  m_routers.Get(known.m_report.m_pool).ApplyReport(known.m_report);
}

}  // namespace verbenalead::daemon
