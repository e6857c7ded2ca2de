#include "entry/platform_entry.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <set>

#include "base/io_threads.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "entry/call_server.h"
#include "entry/entry_news.h"
#include "entry/entry_state.h"
#include "entry/row_intake.h"
#include "http/client.h"
#include "http/server.h"
#include "links/datagrams.h"
#include "links/operator_rows.h"
#include "links/process_servers.h"
#include "links/table_follower.h"
#include "platform/directory_calls.h"
#include "platform/names.h"
#include "platform/store.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;

/// The operator's changes: the store holds the question for a quarter of the
/// lease on keys, which each answer renews.
constexpr links::FollowPace kOperatorPace = {1200ms, Duration()};
/// Replicas: one that leaves must get no calls 2 s after it said so.
constexpr links::FollowPace kReplicaPace = {Duration(), 900ms};
/// Both while another entry reads for this one, in case that all its news were
/// lost.
constexpr links::FollowPace kReadForPace = {Duration(), 10s};
/// A list that differs from the reader's is asked for no more often than this.
constexpr Duration kPokeInterval = 300ms;
/// Changes that come in quick succession are taken over together. The bound is
/// 2 s, and the entry that reads hands 100 KB to each of its neighbours.
constexpr Duration kFetchInterval = 400ms;
/// How often targets are told what changed in this entry's calls. In this time
/// 11 calls begin at the users' peak, spread over 9 to 15 replicas of 16
/// places.
constexpr Duration kCallNewsInterval = 80ms;
/// Every so many times they are told all, in case a datagram was lost.
constexpr uint64_t kRoundsToTellAll = 12;
/// How often the other entries are told how this one is, if nothing changed:
/// near ones 2.5 times a second, far ones every 1.6 s.
constexpr Duration kNewsInterval = 100ms;
constexpr uint64_t kRoundsToTellNear = 4;
constexpr uint64_t kRoundsToTellFar = 16;
/// How often target processes are asked for their news, and what is past is
/// forgotten.
constexpr Duration kFollowInterval = 1s;
constexpr uint64_t kRoundsToFollowFar = 2;
/// How often the table of entries is read. Entries find each other by their
/// datagrams; the table is for those that never heard of each other.
constexpr Duration kEntryTableInterval = 10s;
constexpr Duration kEntryTableRetry = 500ms;
/// How long an answer of the directory holds. Callers that keep it for three
/// times as long still leave a stopping entry before it ends.
constexpr Duration kAddressesHold = 1s;
/// A host without power answers nothing; the longest round trip is 4 ms.
constexpr Duration kConnectTimeout = 250ms;
/// From the order to stop: calls are taken for so long, as callers go on coming
/// until they have asked the directory again.
constexpr Duration kTakeCallsFor = 3s;
/// The process ends so long before it would be ended by force.
constexpr Duration kStopMargin = 400ms;
constexpr Duration kStopPoll = 20ms;

http::ClientOptions ReplicaConnections() {
  http::ClientOptions options;
  options.m_keep = false;
  options.m_connect_timeout = kConnectTimeout;
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
        m_store(m_store_http, m_state.m_options.m_store),
        m_datagrams(m_threads.main(), m_state.m_options.m_self.m_peers),
        m_asker(m_state, m_datagrams),
        m_places(m_state,
                 m_asker,
                 [this](const decide::ReplicaState& replica) {
                   TellCalls(replica, true);
                 }),
        m_calls(m_state, m_places, m_replica_http),
        m_intake(m_state),
        m_operator_rows(
            m_threads.main(),
            m_store,
            platform::kOperatorTable,
            [this] { return PaceOf(kOperatorPace); },
            [this](const platform::Rows& rows, bool whole) {
              ApplyOperatorRows(
                  [&] { m_intake.TakeOperatorRows(rows, whole); });
            }),
        m_replica_rows(
            m_threads.main(),
            m_store,
            platform::kReplicaTable,
            [this] { return PaceOf(kReplicaPace); },
            [this](const platform::Rows& rows, bool whole) {
              m_intake.TakeReplicaRows(rows, whole,
                                       m_replica_rows.regained_at());
              m_places.WakeAll();
            }),
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
              return TellReadiness(request, caller);
            }),
        m_directory(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return TellAddresses(request, caller);
            }),
        m_rows(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return TellRows(request, caller);
            }),
        m_metrics(m_threads, {}, links::MetricsHandler(m_state.m_metrics)),
        m_signals(m_threads.main(), SIGTERM, SIGINT, SIGHUP) {}

  /// Lets `take` take rows in, and acts on what has changed by them.
  template <typename Take>
  void ApplyOperatorRows(Take take) {
    const auto before = m_state.m_routes;
    const uint64_t revision = m_state.m_weights_revision;
    take();
    // New weights take most of their bound to spread: targets hear of them now.
    if (m_state.m_weights_revision > revision)
      AskTargets(false);
    if (m_state.m_routes == before)
      return;
    const model::RoutingConfig& config = m_state.m_routes->config();
    http::ServerLimits limits;
    limits.m_max_header = config.m_max_header_bytes;
    limits.m_max_body = config.m_max_body_bytes;
    limits.m_idle = config.m_idle_timeout;
    limits.m_request = config.m_header_timeout;
    m_callers.SetLimits(limits);
  }

  Awaitable<void> TellReadiness(const wire::Request&,
                                wire::ResponseWriter& caller) {
    const bool ready = IsReady(m_state);
    co_await caller.Send(wire::JsonResponse(
        ready ? 200 : 503, ready ? "{\"ready\":true}" : "{\"ready\":false}"));
  }

  Awaitable<void> TellAddresses(const wire::Request& request,
                                wire::ResponseWriter& caller) {
    if (wire::PathOf(request) != platform::kDirectoryPath) {
      co_await caller.Send(wire::JsonResponse(404, "{}"));
      co_return;
    }
    co_await caller.Send(platform::EncodeAddresses(
        EntriesFor(m_state, platform::CallerDataCenter(request), Now()),
        kAddressesHold));
  }

  links::FollowPace PaceOf(const links::FollowPace& own) const {
    return ReaderFor(m_state, Now()) ? kReadForPace : own;
  }

  /// Asks the store at once where the near entry that reads has something else,
  /// and again for itself where there is none any more.
  void CompareWithReader() {
    const PeerEntry* reader = ReaderFor(m_state, Now());
    const bool lost = m_had_reader && !reader;
    m_had_reader = reader != nullptr;
    if (lost)
      m_operator_rows.Poke();
    else if (reader && !m_fetching && Now() >= m_next_fetch &&
             reader->m_operator_revision > m_state.m_operator_revision)
      Spawn(m_threads.main(), FetchFrom(reader->m_address.m_peers), "fetch");
    const bool differs =
        reader && reader->m_replicas_hash != m_state.m_replicas_hash;
    if (!lost && !differs) {
      if (reader)
        m_state.m_replicas_at = Now();
      return;
    }
    if (Now() >= m_next_poke) {
      m_next_poke = Now() + kPokeInterval;
      m_replica_rows.Poke();
    }
  }

  /// Takes the operator's rows over from the entry that reads, or asks the
  /// store if that fails.
  Awaitable<void> FetchFrom(Endpoint reader) {
    m_fetching = true;
    m_next_fetch = Now() + kFetchInterval;
    const auto rows = co_await links::FetchOperatorRows(m_store_http, reader);
    m_fetching = false;
    if (rows) {
      ApplyOperatorRows([&] { m_intake.TakeRelayedRows(*rows); });
      co_return;
    }
    LogLine("rows_not_relayed").With(rows.error()).Warn();
    m_operator_rows.Poke();
  }

  Awaitable<void> TellRows(const wire::Request& request,
                           wire::ResponseWriter& caller) {
    if (request.m_path != links::kOperatorRowsPath || !m_state.m_routes) {
      co_await caller.Send(wire::JsonResponse(404, "{}"));
      co_return;
    }
    co_await caller.Send(wire::JsonResponse(
        200, links::EncodeOperatorRows(m_intake.operator_rows(),
                                       m_state.m_operator_proof)));
  }

  void TakeMessage(const links::Message& message) {
    if (const auto* news = std::get_if<links::EntryNews>(&message)) {
      TakeNews(m_state, *news, Now());
      CompareWithReader();
    } else if (const auto* replica = std::get_if<links::ReplicaNews>(&message))
      TakeNews(m_state, *replica, Now());
    else if (const auto* answer = std::get_if<links::PlaceAnswer>(&message))
      m_asker.TakeAnswer(*answer);
    m_places.WakeAll();
  }

  /// What binds now, and what engines can do, by service.
  void UpdatePools() {
    for (auto& [name, service] : m_state.m_services)
      decide::DropMissing(service.m_pool, Now());
    if (!m_state.m_routes)
      return;
    for (const model::Service& service :
         m_state.m_routes->config().m_services) {
      if (!service.m_engine)
        continue;
      // A replica without any weights takes no calls, whatever was declared.
      const uint64_t binding =
          decide::Binding(m_state.m_weights[service.m_engine->m_model], Now());
      decide::ReplicaPool& pool = StateOf(m_state, service.m_name).m_pool;
      pool.m_required_weights = std::max<uint64_t>(1, binding);
      pool.m_prefill_rate = service.m_engine->m_prefill_rate;
    }
  }

  /// Tells target processes what this entry has at their replicas.
  Awaitable<void> SendCallNews() {
    uint64_t round = 0;
    while (true) {
      co_await Sleep(kCallNewsInterval);
      UpdatePools();
      m_places.WakeAll();
      const bool all = ++round % kRoundsToTellAll == 0;
      for (const auto& [name, service] : m_state.m_services) {
        if (!IsEngine(name))
          continue;
        for (const auto& [id, replica] : service.m_pool.m_replicas)
          TellCalls(replica, all && replica.m_in_flight > 0);
      }
    }
  }

  /// Tells what has changed, or `again` what was told before.
  void TellCalls(const decide::ReplicaState& replica, bool again) {
    const links::ReplicaCalls now = CallsAt(replica);
    links::ReplicaCalls& told = m_told_calls[replica.m_replica.m_id];
    if (now == told && !again)
      return;
    told = now;
    m_datagrams.Send(TargetOf(replica),
                     links::CallNews{replica.m_replica.m_id, now});
  }

  Endpoint TargetOf(const decide::ReplicaState& replica) const {
    return {replica.m_replica.m_endpoint.address(),
            m_state.m_options.m_targets_port};
  }

  /// Tells the other entries how this one is: those near often, those far
  /// seldom, all when it has changed.
  Awaitable<void> SendNews() {
    links::EntryNews last;
    uint64_t round = 0;
    while (true) {
      co_await Sleep(kNewsInterval);
      CompareWithReader();
      const bool crashes = TakeOwnCrashes(m_state, Now());
      links::EntryNews news = NewsOf(m_state);
      ++round;
      const bool changed = news.m_ready != last.m_ready || crashes;
      const bool read = news.m_operator_revision != last.m_operator_revision ||
                        news.m_replicas_hash != last.m_replicas_hash;
      Broadcast(news, changed || read || round % kRoundsToTellNear == 0,
                changed || round % kRoundsToTellFar == 0);
      last = std::move(news);
    }
  }

  void Broadcast(const links::EntryNews& news, bool near, bool far) {
    if (!near && !far)
      return;
    for (const auto& [host, peer] : m_state.m_peers) {
      const bool is_near = peer.m_address.m_data_center ==
                           m_state.m_options.m_self.m_data_center;
      if (is_near ? near : far)
        m_datagrams.Send(peer.m_address.m_peers, news);
    }
  }

  Awaitable<void> FollowTargets() {
    for (uint64_t round = 0;; ++round) {
      AskTargets(round % kRoundsToFollowFar == 0);
      co_await Sleep(kFollowInterval);
    }
  }

  /// Asks targets for their news and tells them which change is the newest.
  void AskTargets(bool far_too) {
    for (const auto& [name, service] : m_state.m_services) {
      if (!IsEngine(name))
        continue;
      for (const auto& [id, replica] : service.m_pool.m_replicas) {
        links::FollowRequest request;
        request.m_weights_revision = m_state.m_weights_revision;
        request.m_near = replica.m_replica.m_data_center ==
                         m_state.m_options.m_self.m_data_center;
        if (request.m_near || far_too)
          m_datagrams.Send(TargetOf(replica), request);
      }
    }
  }

  bool IsEngine(const std::string& name) const {
    const model::Service* service =
        m_state.m_routes ? m_state.m_routes->FindService(name) : nullptr;
    return service && service->m_engine;
  }

  /// Makes this entry known and learns of the others.
  Awaitable<void> KeepRegistered() {
    bool registered = false;
    while (true) {
      if (!registered) {
        const auto written = co_await m_store.Write(
            platform::kEntryTable, m_state.m_options.m_self.m_host,
            EncodeEntryRow(m_state.m_options.m_self));
        registered = written.has_value();
        if (!written)
          LogLine("not_registered").With(written.error()).Warn();
      }
      const auto rows = co_await m_store.ReadTable(platform::kEntryTable);
      if (rows)
        m_intake.TakeEntryRows(*rows);
      const bool settled = registered && rows.has_value();
      co_await Sleep(settled ? kEntryTableInterval : kEntryTableRetry);
    }
  }

  Awaitable<void> AwaitSignals() {
    while (true) {
      const int signal = co_await m_signals.async_wait(asio::use_awaitable);
      if (signal != SIGHUP)
        break;
      // All that the settings hold is fixed while the process lives.
      LogLine("reload").With("changed", false).Info();
    }
    co_await Stop();
  }

  /// Lets callers go elsewhere, finishes what runs, and ends.
  Awaitable<void> Stop() {
    const TimePoint begun = Now();
    LogLine("stopping").With("calls", m_callers.busy()).Info();
    m_state.m_stopping = true;
    m_callers.Drain();
    Broadcast(NewsOf(m_state), true, true);
    co_await Sleep(kTakeCallsFor);
    m_callers.StopAccepting();
    m_directory.StopAccepting();
    const TimePoint end = begun + m_state.m_options.m_stop_bound - kStopMargin;
    while (m_callers.busy() > 0 && Now() < end)
      co_await Sleep(kStopPoll);
    LogLine("stopped").With("calls_cut", m_callers.busy()).Info();
    m_threads.Stop();
  }

  EntryState m_state;
  IoThreads m_threads;
  http::Client m_replica_http;
  http::Client m_store_http;
  platform::Store m_store;
  links::Datagrams m_datagrams;
  PlaceAsker m_asker;
  PlaceWaiter m_places;
  CallServer m_calls;
  RowIntake m_intake;
  links::TableFollower m_operator_rows;
  links::TableFollower m_replica_rows;
  http::Server m_callers;
  http::Server m_readiness;
  http::Server m_directory;
  http::Server m_rows;
  http::Server m_metrics;
  asio::signal_set m_signals;
  /// What was told of the calls at each replica.
  std::map<std::string, links::ReplicaCalls> m_told_calls;
  bool m_had_reader = false;
  bool m_fetching = false;
  TimePoint m_next_fetch{};
  TimePoint m_next_poke{};
};

PlatformEntry::PlatformEntry(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

PlatformEntry::~PlatformEntry() = default;

int PlatformEntry::Run() {
  Parts& parts = *m_parts;
  const EntryOptions& options = parts.m_state.m_options;
  LogLine("starting")
      .With("host", options.m_self.m_host)
      .With("data_center", options.m_self.m_data_center)
      .With("callers", ToString(options.m_self.m_callers))
      .With("store", ToString(options.m_store))
      .Info();
  if (!links::ListenAll({{&parts.m_callers, options.m_self.m_callers},
                         {&parts.m_readiness, options.m_readiness},
                         {&parts.m_directory, options.m_directory},
                         {&parts.m_rows, options.m_self.m_peers},
                         {&parts.m_metrics, options.m_metrics}}))
    return 1;
  const auto main = parts.m_threads.main();
  SpawnLoop(main, parts.m_operator_rows.Run(), "operator_rows");
  SpawnLoop(main, parts.m_replica_rows.Run(), "replica_rows");
  SpawnLoop(main, parts.KeepRegistered(), "keep_registered");
  SpawnLoop(main, parts.SendNews(), "send_news");
  SpawnLoop(main, parts.SendCallNews(), "send_call_news");
  SpawnLoop(main, parts.FollowTargets(), "follow_targets");
  SpawnLoop(main, parts.AwaitSignals(), "await_signals");
  SpawnLoop(main,
            parts.m_datagrams.Receive(
                [&parts](const Endpoint&, const links::Message& message) {
                  parts.TakeMessage(message);
                }),
            "receive");
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::entry
