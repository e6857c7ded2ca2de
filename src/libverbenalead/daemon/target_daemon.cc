#include "daemon/target_daemon.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <csignal>

#include "backends/dynamo_table.h"
#include "backends/signing_client.h"
#include "base/io_threads.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "daemon/config_follower.h"
#include "daemon/credentials.h"
#include "daemon/readiness.h"
#include "daemon/revision_client.h"
#include "daemon/target_peer_api.h"
#include "daemon/version_controller.h"
#include "http/client.h"
#include "http/server.h"
#include "peer/client.h"
#include "peer/credentials.h"
#include "peer/server.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kHostListInterval = 1s;
constexpr Duration kHealthInterval = 250ms;
constexpr Duration kAttemptCleanupInterval = 10s;
constexpr Duration kStopPollInterval = 20ms;
constexpr char kAttemptPath[] = "/v1/attempt";
constexpr char kServiceHealthPath[] = "/healthz";

uint64_t UnixMilliseconds() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

uint64_t Bytes(const Settings& settings, const char* key) {
  return static_cast<uint64_t>(settings.Integer(key));
}

/// The part of a link's rate that chunk transfers may use. The rest is left for
/// live requests, which use the same links.
uint64_t TransferShare(const Settings& settings, const char* key) {
  return Bytes(settings, key) * Bytes(settings, "transfer.share_percent") / 100;
}

WeightsFetcher::Options FetcherOptions(const Settings& settings) {
  WeightsFetcher::Options options;
  options.m_self = {settings.Text("host"), settings.Text("region"),
                    settings.Text("data_center")};
  options.m_pool = settings.Text("pool");
  if (settings.Text("transfer.preference") == "origin_bytes_first")
    options.m_preference = decide::TransferPreference::kOriginBytesFirst;
  options.m_origin_budget_percent =
      static_cast<uint32_t>(settings.Integer("transfer.origin_budget_percent"));
  options.m_links.m_origin = Bytes(settings, "transfer.origin_rate");
  options.m_links.m_host = std::min(TransferShare(settings, "link.upload"),
                                    TransferShare(settings, "link.download"));
  return options;
}

}  // namespace

struct TargetDaemon::Parts {
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
        m_host_list(m_http, settings.Address("platform.host_list"), 1s),
        m_hosts(m_host_list),
        m_origin(m_http,
                 settings.Address("platform.origin"),
                 settings.Milliseconds("platform.origin_timeout")),
        m_engine(m_http, settings.Address("backend.address")),
        m_upload(TransferShare(settings, "link.upload")),
        m_download(TransferShare(settings, "link.download")),
        m_uploads(m_upload),
        m_store(Bytes(settings, "weights.memory")),
        m_gate(UnixMilliseconds(),
               static_cast<uint32_t>(settings.Integer("backend.capacity"))),
        m_config(nullptr),
        m_peers(m_sessions, m_config),
        m_follower(settings.Text("host"),
                   model::HostRole::kTarget,
                   m_config,
                   m_hosts,
                   m_peers,
                   settings.Milliseconds("config.poll")),
        m_fetcher(FetcherOptions(settings),
                  m_store,
                  m_hosts,
                  m_peers,
                  m_origin,
                  m_download,
                  m_counters),
        m_versions(settings.Text("host"),
                   settings.Text("pool"),
                   settings.Address("listen.weights"),
                   m_config,
                   m_hosts,
                   m_gate,
                   m_store,
                   m_fetcher,
                   m_engine,
                   m_table),
        m_attempts(settings.Text("host"), m_gate, m_engine, m_journal),
        m_peer_server(m_threads, peer::SessionLimits{}, PeerApi()),
        m_weights_server(
            m_threads,
            http::ServerLimits{},
            MakeWeightsApi(m_store, [this] { return MetricsText(); })),
        m_signals(m_threads.main(), SIGTERM, SIGINT),
        m_hangup(m_threads.main(), SIGHUP) {}

  /// Wraps `handler` so that the duration of attempts is measured.
  wire::Handler Measured(wire::Handler handler) {
    return [this, handler = std::move(handler)](
               const wire::Request& request,
               wire::ResponseWriter& writer) -> Awaitable<void> {
      return Measure(handler, request, writer);
    };
  }

  Awaitable<void> Measure(const wire::Handler& handler,
                          const wire::Request& request,
                          wire::ResponseWriter& writer) {
    const TimePoint start = Now();
    co_await handler(request, writer);
    if (request.m_path == kAttemptPath) {
      m_metrics.Observe("attempt_seconds", "",
                        std::chrono::duration<double>(Now() - start).count());
    }
  }

  std::string MetricsText() {
    const model::TargetReport report = Report();
    m_metrics.Set("running", "", report.m_running);
    m_metrics.Set("capacity", "", report.m_capacity);
    m_metrics.Set("gate_open", "", report.m_open);
    m_metrics.Set("leaving", "", report.m_leaving);
    m_metrics.Set("config_revision", "",
                  static_cast<double>(report.m_revision));
    m_metrics.Set("chunks_held", "", report.m_chunks_held);
    m_metrics.Set("chunks_total", "", report.m_chunks_total);
    m_metrics.Set("weights_bytes", "source=\"origin\"",
                  static_cast<double>(report.m_origin_bytes));
    m_metrics.Set("weights_bytes", "source=\"peers\"",
                  static_cast<double>(report.m_peer_bytes));
    return m_metrics.Text();
  }

  wire::Handler PeerApi() {
    TargetPeerContext context;
    context.m_attempts = &m_attempts;
    context.m_store = &m_store;
    context.m_journal = &m_journal;
    context.m_uploads = &m_uploads;
    context.m_region = m_settings.Text("region");
    context.m_report = [this] { return Report(); };
    context.m_drain = [this] { StartLeaving("operator"); };
    wire::Handler handler =
        WithReadiness([this] { return m_follower.ready(); },
                      Measured(MakeTargetPeerApi(std::move(context))));
    return peer::RequireCredentials(m_credentials,
                                    WithRevision(m_config, std::move(handler)));
  }

  model::TargetReport Report() {
    model::TargetReport report;
    report.m_name = m_settings.Text("host");
    report.m_pool = m_settings.Text("pool");
    report.m_peer = m_settings.Address("listen.peers");
    report.m_revision = m_config.current()->m_revision;
    const bool ready = m_follower.ready();
    report.m_origin_bytes = m_counters.m_origin_bytes;
    report.m_peer_bytes = m_counters.m_peer_bytes;
    const VersionProgress progress = m_versions.progress();
    report.m_version = progress.m_active_version;
    report.m_loading_version = progress.m_loading_version;
    report.m_stage = progress.m_stage;
    report.m_reason = progress.m_reason;
    if (!progress.m_loading_version.empty()) {
      const auto manifest = m_store.GetManifest(progress.m_loading_digest);
      report.m_chunks_total = manifest ? manifest->chunk_count() : 0;
      report.m_chunks_held = m_store.HeldChunkCount(progress.m_loading_digest);
    }
    m_gate.With([&](decide::GateState& gate) {
      report.m_incarnation = gate.m_incarnation;
      report.m_capacity = gate.m_capacity;
      report.m_running = gate.m_running;
      report.m_open = gate.m_open && !gate.m_closing && ready;
      report.m_leaving = gate.m_leaving;
      report.m_digest = gate.m_digest;
      return 0;
    });
    return report;
  }

  void StartLeaving(const char* reason) {
    const bool changed = m_gate.With([](decide::GateState& gate) {
      return !std::exchange(gate.m_leaving, true);
    });
    if (changed)
      LogLine("leaving").With("reason", reason).Info();
  }

  Awaitable<void> FollowHosts() {
    while (true) {
      co_await m_hosts.Refresh();
      co_await Sleep(kHostListInterval);
    }
  }

  /// Opens the gate while the service is healthy, and closes it otherwise. A
  /// plain service has no versions.
  Awaitable<void> FollowService() {
    while (true) {
      wire::Request request;
      request.m_path = kServiceHealthPath;
      auto response = co_await wire::Fetch(m_http, m_engine.endpoint(),
                                           std::move(request), Now() + 1s);
      const bool healthy = response && response->m_status == 200;
      m_gate.With([&](decide::GateState& gate) {
        if (healthy && !gate.m_open)
          decide::Open(gate, Digest());
        if (!healthy)
          decide::Shut(gate);
        return 0;
      });
      co_await Sleep(kHealthInterval);
    }
  }

  Awaitable<void> RemoveExpiredAttempts() {
    while (true) {
      co_await Sleep(kAttemptCleanupInterval);
      m_gate.With([](decide::GateState& gate) {
        decide::EraseOldAttempts(gate, Now());
        return 0;
      });
    }
  }

  Awaitable<void> StopOnSignal() {
    co_await m_signals.async_wait(asio::use_awaitable);
    StartLeaving("signal");
    const TimePoint notice_end = Now() + m_settings.Milliseconds("stop.notice");
    const TimePoint grace_end = Now() + m_settings.Milliseconds("stop.grace");
    while (Now() < grace_end &&
           (Now() < notice_end || m_attempts.serving() > 0))
      co_await Sleep(kStopPollInterval);
    LogLine("stopped").With("cut_off", m_attempts.serving()).Info();
    m_threads.Stop();
  }

  /// On SIGHUP, reloads the key for connections between the processes, so that
  /// it can be replaced without a restart.
  Awaitable<void> ReloadOnHangup() {
    while (true) {
      co_await m_hangup.async_wait(asio::use_awaitable);
      if (const auto done = m_credentials.Load(); !done)
        LogLine("reload_failed").With(done.error()).Error();
      else
        LogLine("reloaded").Info();
    }
  }

  bool Listen() {
    if (const auto loaded = m_credentials.Load(); !loaded) {
      LogLine("start_failed").With(loaded.error()).Error();
      return false;
    }
    for (const auto& bound :
         {m_peer_server.Listen(m_settings.Address("listen.peers")),
          m_weights_server.Listen(m_settings.Address("listen.weights"))}) {
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
  backends::HostList m_host_list;
  HostDirectory m_hosts;
  backends::Origin m_origin;
  backends::Engine m_engine;
  Pacer m_upload;
  Pacer m_download;
  UploadScheduler m_uploads;
  WeightsStore m_store;
  GuardedGate m_gate;
  ConfigStore m_config;
  RevisionClient m_peers;
  ConfigFollower m_follower;
  TransferCounters m_counters;
  WeightsFetcher m_fetcher;
  VersionController m_versions;
  AttemptServer m_attempts;
  peer::Server m_peer_server;
  http::Server m_weights_server;
  asio::signal_set m_signals;
  asio::signal_set m_hangup;
};

TargetDaemon::TargetDaemon(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

TargetDaemon::~TargetDaemon() = default;

int TargetDaemon::Run() {
  Parts& parts = *m_parts;
  if (!parts.Listen())
    return 1;
  const auto executor = parts.m_threads.main();
  SpawnLoop(executor, parts.FollowHosts(), "follow_hosts");
  SpawnLoop(executor, parts.m_follower.Run(), "follow_config");
  SpawnLoop(executor, parts.RemoveExpiredAttempts(), "forget_attempts");
  SpawnLoop(executor, parts.StopOnSignal(), "stop_when_asked");
  SpawnLoop(executor, parts.ReloadOnHangup(), "reload_when_asked");
  if (parts.m_settings.Text("backend.kind") == "engine")
    SpawnLoop(executor, parts.m_versions.Run(), "keep_version");
  else
    SpawnLoop(executor, parts.FollowService(), "follow_service");
  LogLine("started").With("host", parts.m_settings.Text("host")).Info();
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::daemon
