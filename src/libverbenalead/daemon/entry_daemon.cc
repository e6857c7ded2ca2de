#include "daemon/entry_daemon.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

#include "backends/dynamo_table.h"
#include "backends/host_list.h"
#include "backends/object_store.h"
#include "backends/signing_client.h"
#include "base/io_threads.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/new_id.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "daemon/config_follower.h"
#include "daemon/config_store.h"
#include "daemon/crash_record_exchange.h"
#include "daemon/credentials.h"
#include "daemon/entry_access.h"
#include "daemon/entry_peer_api.h"
#include "daemon/leaving_entries.h"
#include "daemon/metered_runner.h"
#include "daemon/readiness.h"
#include "daemon/request_runner.h"
#include "daemon/revision_client.h"
#include "daemon/target_directory.h"
#include "daemon/trace_collector.h"
#include "front/bearer_check.h"
#include "front/callers_api.h"
#include "front/operators_api.h"
#include "http/client.h"
#include "http/server.h"
#include "peer/client.h"
#include "peer/credentials.h"
#include "peer/server.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kDrainTimeout = 2s;
constexpr Duration kStopPollInterval = 20ms;
/// A stopping entry accepts connections for as long as callers may use a list
/// of entries that still names it. This is the time to live of the list, plus a
/// margin for notifying the other entries and for callers to fetch the next
/// list.
constexpr Duration kAcceptAfterStop = front::kEntriesTtl + 2s;

}  // namespace

struct EntryDaemon::Parts {
  explicit Parts(const Settings& settings)
      : m_settings(settings),
        m_threads(static_cast<int>(settings.Integer("threads"))),
        m_credentials(settings.Text("peers.key_file")),
        m_sessions(peer::SessionLimits{}, &m_credentials),
        m_journal(settings.Text("host"),
                  static_cast<size_t>(settings.Integer("journal.requests"))),
        m_signed_table(m_http, LoadPlatformCredentials(settings), "dynamodb"),
        m_table(m_signed_table,
                settings.Address("platform.table"),
                settings.Text("platform.table_name"),
                settings.Milliseconds("platform.table_timeout")),
        m_signed_objects(m_http, LoadPlatformCredentials(settings), "s3"),
        m_objects(m_signed_objects,
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
        m_counting_runner(m_runner, m_metrics),
        m_access(settings),
        m_callers(m_threads, CallerLimits(settings), Callers(), m_access.tls()),
        m_operators(m_threads,
                    http::ServerLimits{},
                    front::RequireBearer(m_access.tokens(), Operators()),
                    m_access.tls()),
        m_peer_server(m_threads, peer::SessionLimits{}, PeerApi()),
        m_signals(m_threads.main(), SIGTERM, SIGINT),
        m_hangup(m_threads.main(), SIGHUP) {}

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
    context.m_runner = &m_counting_runner;
    return WithReadiness([this] { return m_follower.ready(); },
                         front::MakeCallersApi(std::move(context)));
  }

  wire::Handler PeerApi() {
    EntryPeerContext context;
    context.m_config = &m_config;
    context.m_journal = &m_journal;
    context.m_ready = [this] { return m_follower.ready(); };
    wire::Handler handler = MakeEntryPeerApi(std::move(context));
    handler = WithCrashRecords(m_runner.quarantine(), std::move(handler));
    handler = WithLeavingNotices(m_leaving, std::move(handler));
    handler = WithRevision(m_config, std::move(handler));
    return peer::RequireCredentials(m_credentials, std::move(handler));
  }

  Awaitable<AsyncResult<front::CommittedChange>> Commit(
      model::ResourceWrite write) {
    auto change = co_await m_config.Commit(std::move(write));
    if (!change)
      co_return change.error();
    front::CommittedChange accepted;
    accepted.m_received_by = co_await m_follower.Replicate(change->m_revision);
    accepted.m_other_entries = m_follower.OtherEntries();
    accepted.m_change = std::move(*change);
    co_return accepted;
  }

  std::vector<std::string> EntryAddresses() {
    std::vector<std::string> addresses;
    for (const model::Host& host : m_hosts.Hosts(model::HostRole::kEntry)) {
      const bool is_self = host.name() == m_settings.Text("host");
      if (!host.leaving() && !m_leaving.Contains(host.name()) &&
          !(is_self && m_stopping))
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
    context.m_wait_for_newer_revision = [this](uint64_t revision,
                                               TimePoint deadline) {
      return m_config.WaitForRevisionAfter(revision, deadline);
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
      return CollectTrace(std::move(request), m_journal, m_peers, Segments(),
                          std::move(hosts));
    };
    context.m_drain = [this](std::string target) {
      return DrainTarget(std::move(target));
    };
    context.m_new_id = &NewId;
    return front::MakeOperatorsApi(std::move(context));
  }

  /// The object store of journal segments; null if none is configured.
  backends::ObjectStore* Segments() {
    const bool configured = !m_settings.Text("platform.object_store").empty();
    return configured ? &m_objects : nullptr;
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

  /// Keeps the number of entries current by which claims divide the write
  /// capacity of the table.
  Awaitable<void> UpdateEntryCount() {
    while (true) {
      m_runner.SetEntryCount(m_hosts.Hosts(model::HostRole::kEntry).size());
      co_await Sleep(m_settings.Milliseconds("config.poll"));
    }
  }

  Awaitable<void> StopOnSignal() {
    co_await m_signals.async_wait(asio::use_awaitable);
    m_stopping = true;
    LogLine("stopping").With("running", m_counting_runner.running()).Info();
    const TimePoint deadline = Now() + m_settings.Milliseconds("stop.grace");
    const TimePoint stop_accepting =
        std::min(deadline, Now() + kAcceptAfterStop);
    m_callers.Drain();
    co_await NotifyLeaving(m_peers, m_settings.Text("host"),
                           m_hosts.Hosts(model::HostRole::kEntry));
    while (Now() < stop_accepting)
      co_await Sleep(kStopPollInterval);
    m_callers.StopAccepting();
    // Waits for the server instead of the runner, which counts a request
    // neither while it is received nor while the end of its answer is sent.
    do {
      co_await Sleep(kStopPollInterval);
    } while (Now() < deadline && m_callers.requests_in_progress() > 0);
    LogLine("stopped").With("cut_off", m_callers.requests_in_progress()).Info();
    m_threads.Stop();
  }

  /// On SIGHUP, reloads certificates and keys without a restart.
  Awaitable<void> ReloadOnHangup() {
    while (true) {
      co_await m_hangup.async_wait(asio::use_awaitable);
      for (const auto& done : {m_access.Reload(), m_credentials.Load()}) {
        if (!done)
          LogLine("reload_failed").With(done.error()).Error();
      }
      LogLine("reloaded").Info();
    }
  }

  bool Listen() {
    for (const auto& good : {m_access.Check(), m_credentials.Load()}) {
      if (!good) {
        LogLine("start_failed").With(good.error()).Error();
        return false;
      }
    }
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
  peer::Credentials m_credentials;
  peer::Client m_sessions;
  Metrics m_metrics;
  Journal m_journal;
  backends::SigningClient m_signed_table;
  backends::DynamoTable m_table;
  backends::SigningClient m_signed_objects;
  backends::ObjectStore m_objects;
  backends::HostList m_host_list;
  HostDirectory m_hosts;
  LeavingEntries m_leaving;
  ConfigStore m_config;
  RevisionClient m_peers;
  ConfigFollower m_follower;
  PoolRouters m_routers;
  TargetDirectory m_directory;
  RequestRunner m_runner;
  MeteredRunner m_counting_runner;
  std::atomic<bool> m_stopping{false};
  EntryAccess m_access;
  http::Server m_callers;
  http::Server m_operators;
  peer::Server m_peer_server;
  asio::signal_set m_signals;
  asio::signal_set m_hangup;
};

EntryDaemon::EntryDaemon(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

EntryDaemon::~EntryDaemon() = default;

int EntryDaemon::Run() {
  Parts& parts = *m_parts;
  if (!parts.Listen())
    return 1;
  const auto executor = parts.m_threads.main();
  SpawnLoop(executor, parts.m_follower.Run(), "follow_config");
  SpawnLoop(executor, parts.UpdateEntryCount(), "count_entries");
  SpawnLoop(executor,
            SendCrashRecords(parts.m_runner.quarantine(), parts.m_hosts,
                             parts.m_peers, parts.m_settings.Text("host")),
            "exchange_crash_notes");
  SpawnLoop(executor, parts.m_directory.Run(), "follow_targets");
  if (backends::ObjectStore* segments = parts.Segments()) {
    SpawnLoop(
        executor,
        FlushJournal(parts.m_journal, *segments, parts.m_settings.Text("host")),
        "flush_journal");
  }
  SpawnLoop(executor, parts.StopOnSignal(), "stop_when_asked");
  SpawnLoop(executor, parts.ReloadOnHangup(), "reload_when_asked");
  LogLine("started").With("host", parts.m_settings.Text("host")).Info();
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::daemon
