#include "daemon/target_directory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"

namespace verbenalead::daemon {
namespace {

constexpr Duration kAskTimeout = 1s;
constexpr int kPollsPerHostList = 4;

}  // namespace

Awaitable<void> TargetDirectory::Run() {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int round = 0;; ++round) {
    if (round % kPollsPerHostList == 0)
      co_await m_hosts.Refresh();
    for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
      bool& asking = m_asking[host.name()];
      if (asking)
        continue;
      asking = true;
      boost::asio::co_spawn(executor, AskTarget(host), boost::asio::detached);
    }
    for (PoolRouter* router : m_routers.All())
      router->Tick();
    co_await Sleep(m_poll);
  }
}

Awaitable<void> TargetDirectory::AskTarget(model::Host host) {
  wire::Request request;
  request.m_path = "/v1/status";
  auto response = co_await wire::Fetch(m_peers, host.peer(), std::move(request),
                                       Now() + kAskTimeout);
  m_asking[host.name()] = false;
  if (!response) {
    LogLine("target_silent")
        .With("target", host.name())
        .With(response.error())
        .Debug();
    co_return;
  }
  auto report =
      CatchFailure([&] { return model::ParseTargetReport(response->m_body); });
  if (!report) {
    LogLine("target_report_bad")
        .With("target", host.name())
        .With(report.error())
        .Warn();
    co_return;
  }
  report->m_leaving |= host.leaving();
  // Reached where the host list says: a target knows only what it binds.
  report->m_peer = host.peer();
  m_config.HeardFrom(report->m_revision);
  m_routers.Get(report->m_pool).Report(*report);
}

}  // namespace verbenalead::daemon
