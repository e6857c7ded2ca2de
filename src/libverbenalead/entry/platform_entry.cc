#include "entry/platform_entry.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

#include "base/io_threads.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "entry/call_server.h"
#include "entry/caller_addresses.h"
#include "entry/cold_replicas.h"
#include "entry/crash_blame.h"
#include "entry/declaration_table.h"
#include "entry/entry_registration.h"
#include "entry/entry_state.h"
#include "entry/peer_updates.h"
#include "entry/row_synchroniser.h"
#include "entry/startup_progress.h"
#include "entry/statements.h"
#include "entry/summary_sender.h"
#include "entry/update_sender.h"
#include "http/client.h"
#include "http/server.h"
#include "links/datagram_socket.h"
#include "links/process_servers.h"
#include "platform/directory_calls.h"
#include "platform/store.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;

/// Interval at which target processes are sent subscription requests, which
/// make them send their updates for a few seconds.
constexpr Duration kFollowInterval = 1s;
constexpr uint64_t kRoundsPerRemoteRequest = 2;
/// Lifetime of a response of the directory. Callers that use it for three times
/// as long still leave a stopping entry before that exits.
constexpr Duration kAddressListLifetime = 1s;
/// A host without power does not respond at all; the longest round trip is 4
/// ms.
constexpr Duration kConnectTimeout = 250ms;
/// Time after the stop signal for which calls are still accepted, since callers
/// continue to send them until they have queried the directory again. A little
/// less than three times kAddressListLifetime, because a busy host handles the
/// signal late.
constexpr Duration kAcceptCallsFor = 2900ms;
/// The process exits this long before it would be killed.
constexpr Duration kStopMargin = 400ms;
constexpr Duration kStopPollInterval = 20ms;
/// Delays of the event loop from this length on affect calls and are logged.
constexpr Duration kLoggedLag = 200ms;

http::ClientOptions ReplicaConnections() {
  http::ClientOptions options;
  options.m_reuse_connections = false;
  options.m_connect_timeout = kConnectTimeout;
  options.m_reset_unfinished = true;
  return options;
}

http::ClientOptions StoreConnections() {
  http::ClientOptions options;
  options.m_connect_timeout = kConnectTimeout;
  return options;
}

}  // namespace

struct PlatformEntry::Parts {
  explicit Parts(const Settings& settings)
      : m_state(ReadEntryOptions(settings)),
        m_threads(1),
        m_replica_http(ReplicaConnections()),
        m_store_http(StoreConnections()),
        m_store(m_store_http, m_state.m_options.m_store, m_state.m_metrics),
        m_datagrams(m_threads.main(), m_state.m_options.m_own_address.m_peers),
        m_update_sender(m_state, m_datagrams),
        m_summaries(m_state, m_datagrams),
        m_slot_requester(m_state, m_datagrams),
        m_slot_allocator(m_state,
                         m_slot_requester,
                         [this](const decide::ReplicaState& replica) {
                           m_update_sender.NotifyCalls(replica, true);
                         }),
        m_calls(m_state, m_slot_allocator, m_replica_http),
        m_rows(m_threads.main(),
               m_state,
               m_store,
               m_store_http,
               [this] { ApplyRows(); }),
        m_declarations(m_threads.main(),
                       m_state,
                       m_store,
                       [this] { return m_rows.reads_store(); }),
        m_registration(
            m_state,
            m_store,
            [this] { HandleEntriesRead(); },
            [this] { return m_summaries.is_sender(); }),
        m_callers(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return m_calls.Serve(request, caller);
            }),
        m_readiness(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return SendReadiness(request, caller);
            }),
        m_directory(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return SendAddresses(request, caller);
            }),
        m_row_server(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return m_rows.ServeRows(request, caller);
            }),
        m_metrics(m_threads, {}, links::MetricsHandler(m_state.m_metrics)),
        m_signals(m_threads.main(), SIGTERM, SIGINT, SIGHUP) {}

  /// Applies the effects of changed rows: wakes waiting calls, announces new
  /// weights and updates the limits for callers' requests.
  void ApplyRows() {
    m_slot_allocator.WakeAll();
    ApplyDeclarations();
    // Replicas must use new weights within a set time of their declaration.
    // Targets need most of it to load them, so they are notified at once and
    // not with the next regular update.
    if (m_state.m_weights_revision > m_announced_weights) {
      m_announced_weights = m_state.m_weights_revision;
      m_update_sender.RequestLocalUpdates();
    }
    // Calls must leave an evacuated data centre within a set time. The entries
    // that fetch the rows from this one learn of the change at once.
    if (m_state.m_evacuation_changes > m_announced_evacuations) {
      m_announced_evacuations = m_state.m_evacuation_changes;
      if (m_rows.reads_store())
        m_update_sender.NotifyAllEntries();
    }
    if (m_state.m_routes == m_applied_routes)
      return;
    m_applied_routes = m_state.m_routes;
    const model::RoutingConfig& config = m_state.m_routes->config();
    http::ServerLimits limits;
    limits.m_max_header = config.m_max_header_bytes;
    limits.m_max_body = config.m_max_body_bytes;
    limits.m_idle_timeout = config.m_idle_timeout;
    limits.m_request_timeout = config.m_header_timeout;
    m_callers.SetLimits(limits);
  }

  /// Applies declared weights and their dates, if any is new: bars older
  /// weights and has the dates kept.
  void ApplyDeclarations() {
    if (m_state.m_declaration_changes == m_applied_declarations)
      return;
    m_applied_declarations = m_state.m_declaration_changes;
    UpdatePools(m_state, Now());
    StopBarredCalls(m_state, Now());
    m_declarations.Wake();
  }

  Awaitable<void> SendReadiness(const wire::Request&,
                                wire::ResponseWriter& caller) {
    const bool ready = IsReady(m_state);
    co_await caller.Send(wire::JsonResponse(
        ready ? 200 : 503, ready ? "{\"ready\":true}" : "{\"ready\":false}"));
  }

  Awaitable<void> SendAddresses(const wire::Request& request,
                                wire::ResponseWriter& caller) {
    if (wire::PathOf(request) != platform::kDirectoryPath) {
      co_await caller.Send(wire::JsonResponse(404, "{}"));
      co_return;
    }
    co_await caller.Send(platform::EncodeAddresses(
        EntriesForCallers(m_state, platform::DecodeDirectoryRequest(request),
                          platform::kMaxAddresses, Now()),
        kAddressListLifetime));
  }

  void HandleMessage(const Endpoint& sender, const links::Message& message) {
    if (const auto* update = std::get_if<links::EntryUpdate>(&message)) {
      ApplyUpdate(m_state, *update, Now());
      ApplyDeclarations();
      m_update_sender.NotifyStartingEntry(*update);
      m_rows.Compare();
    } else if (const auto* summary =
                   std::get_if<links::DataCenterSummary>(&message)) {
      m_summaries.HandleSummary(*summary);
    } else if (const auto* replica =
                   std::get_if<links::ReplicaUpdate>(&message)) {
      ApplyUpdate(m_state, *replica, Now());
    } else if (const auto* answer = std::get_if<links::SlotAnswer>(&message)) {
      m_slot_requester.HandleAnswer(*answer);
    } else if (const auto* request =
                   std::get_if<links::TokenRequest>(&message)) {
      m_slot_requester.tokens().HandleRequest(sender, *request);
    } else if (const auto* token = std::get_if<links::TokenAnswer>(&message)) {
      m_slot_requester.tokens().HandleAnswer(*token);
    }
    m_slot_allocator.WakeAll();
  }

  void RecordLoopLag(Duration late) {
    RecordLag(m_state.m_lag, late, Now());
    m_state.m_metrics.Observe("loop_lag_seconds", "",
                              std::chrono::duration<double>(late).count());
    if (late >= kLoggedLag)
      LogLine("loop_late").With("ms", ToMilliseconds(late)).Warn();
  }

  Awaitable<void> SendCallUpdates() {
    while (true) {
      const TimePoint due = Now() + kCallUpdateInterval;
      co_await Sleep(kCallUpdateInterval);
      RecordLoopLag(Now() - due);
      if (!m_started)
        m_started = RecordStartupSteps(m_state, m_start, Now());
      UpdatePools(m_state, Now());
      StopBarredCalls(m_state, Now());
      // The target may know of the restart or the cold time from nobody else.
      ReportColdReplicas(
          m_state,
          [this](const decide::ReplicaState& replica) {
            m_update_sender.NotifyCalls(replica, true);
          },
          Now());
      m_slot_requester.tokens().ConfirmTerms(Now());
      m_slot_allocator.WakeAll();
      m_update_sender.NotifyCalls();
    }
  }

  Awaitable<void> SendEntryUpdates() {
    while (true) {
      co_await Sleep(kUpdateSendInterval);
      UpdateBlockedParts(m_state, Now());
      for (const uint64_t ticket : BlockedTickets(m_state, Now()))
        m_slot_allocator.Cancel(ticket);
      m_rows.Compare();
      m_update_sender.NotifyEntries(m_rows.ConsumeTakeover());
      m_summaries.SendIfDue();
      LogReplicaChanges(m_state.m_replica_changes, Now());
      ExportStatements(m_state);
    }
  }

  Awaitable<void> FollowTargets() {
    for (uint64_t round = 0;; ++round) {
      m_update_sender.RequestLocalUpdates();
      if (m_summaries.is_sender() && round % kRoundsPerRemoteRequest == 0)
        m_update_sender.NotifyRemoteTargets();
      co_await Sleep(kFollowInterval);
    }
  }

  void HandleEntriesRead() {
    m_rows.HandleEntriesKnown();
    m_update_sender.NotifyAllEntries();
  }

  Awaitable<void> AwaitSignals() {
    while (true) {
      const int signal = co_await m_signals.async_wait(asio::use_awaitable);
      if (signal != SIGHUP)
        break;
      // No setting can change while the process runs.
      LogLine("reload").With("changed", false).Info();
    }
    co_await Stop();
  }

  /// Stops gracefully: makes callers use other entries, waits for running
  /// calls, and ends the process.
  Awaitable<void> Stop() {
    const TimePoint begun = Now();
    LogLine("stopping").With("calls", m_callers.requests_in_progress()).Info();
    m_state.m_stopping = true;
    m_callers.Drain();
    m_update_sender.NotifyAllEntries();
    co_await Sleep(kAcceptCallsFor);
    m_state.m_accepts_calls = false;
    m_callers.StopAccepting();
    m_directory.StopAccepting();
    const TimePoint end = begun + m_state.m_options.m_stop_bound - kStopMargin;
    while (m_callers.requests_in_progress() > 0 && Now() < end)
      co_await Sleep(kStopPollInterval);
    LogLine("stopped")
        .With("calls_cut", m_callers.requests_in_progress())
        .Info();
    m_threads.Stop();
  }

  EntryState m_state;
  IoThreads m_threads;
  http::Client m_replica_http;
  http::Client m_store_http;
  platform::Store m_store;
  links::DatagramSocket m_datagrams;
  UpdateSender m_update_sender;
  SummarySender m_summaries;
  SlotRequester m_slot_requester;
  SlotAllocator m_slot_allocator;
  CallServer m_calls;
  RowSynchroniser m_rows;
  DeclarationTable m_declarations;
  EntryRegistration m_registration;
  http::Server m_callers;
  http::Server m_readiness;
  http::Server m_directory;
  http::Server m_row_server;
  http::Server m_metrics;
  asio::signal_set m_signals;
  /// The configuration that ApplyRows() applied last.
  std::shared_ptr<const decide::RouteTable> m_applied_routes;
  model::Revision m_announced_weights;
  /// The changes of declarations that ApplyDeclarations() applied.
  uint64_t m_applied_declarations = 0;
  /// The changes of evacuations that were announced to other entries.
  uint64_t m_announced_evacuations = 0;
  StartupProgress m_start;
  /// All steps of StartupProgress are completed.
  bool m_started = false;
};

PlatformEntry::PlatformEntry(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

PlatformEntry::~PlatformEntry() = default;

int PlatformEntry::Run() {
  Parts& parts = *m_parts;
  const EntryOptions& options = parts.m_state.m_options;
  LogLine("starting")
      .With("host", options.m_own_address.m_host)
      .With("data_center", options.m_own_address.m_data_center)
      .With("callers", ToString(options.m_own_address.m_callers))
      .With("store", ToString(options.m_store))
      .Info();
  if (!links::ListenAll({{&parts.m_callers, options.m_own_address.m_callers},
                         {&parts.m_readiness, options.m_readiness},
                         {&parts.m_directory, options.m_directory},
                         {&parts.m_row_server, options.m_own_address.m_peers},
                         {&parts.m_metrics, options.m_metrics}}))
    return 1;
  parts.m_start.m_started = Now();
  const auto main = parts.m_threads.main();
  parts.m_rows.Start();
  SpawnLoop(main, parts.m_declarations.Run(), "keep_declarations");
  SpawnLoop(main, parts.m_registration.KeepRegistered(), "keep_registered");
  SpawnLoop(main, parts.m_registration.FollowRemoteEntries(),
            "learn_far_entries");
  SpawnLoop(main, parts.SendEntryUpdates(), "send_news");
  SpawnLoop(main, parts.SendCallUpdates(), "send_call_news");
  SpawnLoop(main, parts.FollowTargets(), "follow_targets");
  SpawnLoop(main, parts.AwaitSignals(), "await_signals");
  SpawnLoop(main,
            parts.m_datagrams.Receive([&parts](const Endpoint& sender,
                                               const links::Message& message) {
              parts.HandleMessage(sender, message);
            }),
            "receive");
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::entry
