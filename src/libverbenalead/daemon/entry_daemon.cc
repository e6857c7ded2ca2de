#include "daemon/entry_daemon.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "base/io_threads.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/new_id.h"
#include "base/sleep.h"
#include "daemon/config_follower.h"
#include "daemon/config_keeper.h"
#include "daemon/entry_peer_api.h"
#include "daemon/readiness.h"
#include "daemon/request_runner.h"
#include "daemon/revision_client.h"
#include "daemon/target_directory.h"
#include "daemon/trace_gatherer.h"
#include "front/callers_api.h"
#include "front/operators_api.h"
#include "http/client.h"
#include "http/server.h"
#include "peer/client.h"
#include "peer/server.h"
#include "platform/dynamo_table.h"
#include "platform/host_list.h"
#include "platform/object_store.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kDrainTimeout = 2s;
constexpr Duration kStopPoll = 20ms;
/// A stopping entry goes on accepting for as long as callers keep the list of
/// entries that still names it.
constexpr Duration kKeepAccepting = front::kEntriesTtl;

/// Counts the calls that run, so that a stop can wait for them.
class CountingRunner : public front::CallRunner {
 public:
  CountingRunner(front::CallRunner& runner, Metrics& metrics)
      : m_runner(runner), m_metrics(metrics) {}

  Awaitable<void> Run(model::Call call,
                      wire::Request request,
                      wire::ResponseWriter& writer) override {
    ++m_running;
    const TimePoint start = Now();
    const std::string labels = "pool=\"" + call.pool() + "\"";
    co_await m_runner.Run(std::move(call), std::move(request), writer);
    m_metrics.Count("calls_total", labels);
    m_metrics.Observe("call_seconds", labels,
                      std::chrono::duration<double>(Now() - start).count());
    --m_running;
  }

  int running() const { return m_running; }

 private:
  front::CallRunner& m_runner;
  Metrics& m_metrics;
  std::atomic<int> m_running{0};
};

}  // namespace

struct EntryDaemon::Parts {
  explicit Parts(const Settings& settings)
      : m_settings(settings),
        m_threads(static_cast<int>(settings.Integer("threads"))),
        m_sessions(peer::SessionLimits{}),
        m_journal(settings.Text("host"),
                  static_cast<size_t>(settings.Integer("journal.requests"))),
        m_table(m_http,
                settings.Address("platform.table"),
                settings.Text("platform.table_name"),
                settings.Milliseconds("platform.table_timeout")),
        m_objects(m_http,
                  settings.Address("platform.object_store"),
                  settings.Text("platform.bucket"),
                  1s),
        m_host_list(m_http, settings.Address("platform.host_list"), 1s),
        m_hosts(m_host_list),
        m_config(&m_table),
        m_peers(m_sessions, m_config),
        m_follower(settings.Text("host"),
                   model::HostRole::kEntry,
                   m_config,
                   m_hosts,
                   m_peers,
                   settings.Milliseconds("config.poll")),
        m_directory(m_routers,
                    m_peers,
                    m_hosts,
                    m_follower,
                    settings.Text("host"),
                    settings.Text("region"),
                    settings.Milliseconds("targets.poll")),
        m_runner(m_routers, m_peers, m_table, m_journal),
        m_counting(m_runner, m_metrics),
        m_callers(m_threads, CallerLimits(settings), Callers()),
        m_operators(m_threads, http::ServerLimits{}, Operators()),
        m_peer_server(m_threads,
                      peer::SessionLimits{},
                      WithRevision(m_config, PeerApi())),
        m_signals(m_threads.main(), SIGTERM, SIGINT) {}

  static http::ServerLimits CallerLimits(const Settings& settings) {
    http::ServerLimits limits;
    limits.m_max_header =
        static_cast<uint32_t>(settings.Integer("limits.header"));
    limits.m_max_body = static_cast<uint64_t>(settings.Integer("limits.body"));
    return limits;
  }

  wire::Handler Callers() {
    front::CallersContext context;
    context.m_config = [this] { return m_config.current(); };
    context.m_new_id = &NewId;
    context.m_entries = [this] { return EntryAddresses(); };
    context.m_stopping = [this] { return m_stopping.load(); };
    context.m_metrics = [this] { return m_metrics.Text(); };
    context.m_runner = &m_counting;
    return WithReadiness([this] { return m_follower.ready(); },
                         front::MakeCallersApi(std::move(context)));
  }

  wire::Handler PeerApi() {
    EntryPeerContext context;
    context.m_config = &m_config;
    context.m_journal = &m_journal;
    context.m_ready = [this] { return m_follower.ready(); };
    return MakeEntryPeerApi(std::move(context));
  }

  Awaitable<AsyncResult<front::AcceptedChange>> Commit(
      model::ResourceWrite write) {
    auto change = co_await m_config.Commit(std::move(write));
    if (!change)
      co_return change.error();
    front::AcceptedChange accepted;
    accepted.m_held_by = co_await m_follower.Replicate(change->m_revision);
    accepted.m_others = m_follower.OtherEntries();
    accepted.m_change = std::move(*change);
    co_return accepted;
  }

  std::vector<std::string> EntryAddresses() {
    std::vector<std::string> addresses;
    for (const model::Host& host : m_hosts.Hosts(model::HostRole::kEntry)) {
      const bool us = host.name() == m_settings.Text("host");
      if (!host.leaving() && !(us && m_stopping))
        addresses.push_back(ToString(host.callers()));
    }
    return addresses;
  }

  wire::Handler Operators() {
    front::OperatorsContext context;
    context.m_host = m_settings.Text("host");
    context.m_config = [this] { return m_config.current(); };
    context.m_changes = [this](uint64_t after) {
      return m_config.ChangesAfter(after);
    };
    context.m_commit = [this](model::ResourceWrite write) {
      return Commit(std::move(write));
    };
    context.m_wait_beyond = [this](uint64_t revision, TimePoint deadline) {
      return m_config.WaitBeyond(revision, deadline);
    };
    context.m_targets = [this] {
      std::vector<model::TargetReport> all;
      for (PoolRouter* router : m_routers.All()) {
        for (model::TargetReport& report : router->Targets())
          all.push_back(std::move(report));
      }
      return all;
    };
    context.m_trace = [this](std::string request) {
      std::vector<model::Host> hosts = m_hosts.Hosts(model::HostRole::kTarget);
      for (const model::Host& host : m_hosts.Hosts(model::HostRole::kEntry)) {
        if (host.name() != m_settings.Text("host"))
          hosts.push_back(host);
      }
      return GatherTrace(std::move(request), m_journal, m_peers, Segments(),
                         std::move(hosts));
    };
    context.m_drain = [this](std::string target) {
      return DrainTarget(std::move(target));
    };
    context.m_new_id = &NewId;
    return front::MakeOperatorsApi(std::move(context));
  }

  /// Null where the settings name no object store.
  platform::ObjectStore* Segments() {
    const bool named = !m_settings.Text("platform.object_store").empty();
    return named ? &m_objects : nullptr;
  }

  Awaitable<AsyncResult<bool>> DrainTarget(std::string target) {
    const auto host = m_hosts.Find(target);
    if (!host) {
      co_return Failure{FailureCode::kNotFound, "drain " + target, "",
                        "no such target"};
    }
    wire::Request request;
    request.m_method = "POST";
    request.m_path = "/v1/drain";
    auto response = co_await wire::Fetch(
        m_peers, host->peer(), std::move(request), Now() + kDrainTimeout);
    if (!response)
      co_return response.error();
    co_return true;
  }

  Awaitable<void> StopWhenAsked() {
    co_await m_signals.async_wait(asio::use_awaitable);
    m_stopping = true;
    LogLine("stopping").With("running", m_counting.running()).Info();
    const TimePoint give_up = Now() + m_settings.Milliseconds("stop.grace");
    const TimePoint stop_accepting = std::min(give_up, Now() + kKeepAccepting);
    while (Now() < give_up &&
           (Now() < stop_accepting || m_counting.running() > 0))
      co_await Sleep(kStopPoll);
    LogLine("stopped").With("cut_off", m_counting.running()).Info();
    m_threads.Stop();
  }

  bool Listen() {
    for (const auto& bound :
         {m_callers.Listen(m_settings.Address("listen.callers")),
          m_operators.Listen(m_settings.Address("listen.operators")),
          m_peer_server.Listen(m_settings.Address("listen.peers"))}) {
      if (!bound) {
        LogLine("start_failed").With(bound.error()).Error();
        return false;
      }
    }
    return true;
  }

  const Settings m_settings;
  IoThreads m_threads;
  http::Client m_http;
  peer::Client m_sessions;
  Metrics m_metrics;
  Journal m_journal;
  platform::DynamoTable m_table;
  platform::ObjectStore m_objects;
  platform::HostList m_host_list;
  HostDirectory m_hosts;
  ConfigKeeper m_config;
  RevisionClient m_peers;
  ConfigFollower m_follower;
  PoolRouters m_routers;
  TargetDirectory m_directory;
  RequestRunner m_runner;
  CountingRunner m_counting;
  std::atomic<bool> m_stopping{false};
  http::Server m_callers;
  http::Server m_operators;
  peer::Server m_peer_server;
  asio::signal_set m_signals;
};

EntryDaemon::EntryDaemon(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

EntryDaemon::~EntryDaemon() = default;

int EntryDaemon::Run() {
  Parts& parts = *m_parts;
  if (!parts.Listen())
    return 1;
  const auto executor = parts.m_threads.main();
  asio::co_spawn(executor, parts.m_follower.Run(), asio::detached);
  asio::co_spawn(executor, parts.m_directory.Run(), asio::detached);
  if (platform::ObjectStore* segments = parts.Segments()) {
    asio::co_spawn(
        executor,
        FlushJournal(parts.m_journal, *segments, parts.m_settings.Text("host")),
        asio::detached);
  }
  asio::co_spawn(executor, parts.StopWhenAsked(), asio::detached);
  LogLine("started").With("host", parts.m_settings.Text("host")).Info();
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::daemon
