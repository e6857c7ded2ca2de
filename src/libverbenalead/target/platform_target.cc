#include "target/platform_target.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <set>

#include "base/io_threads.h"
#include "base/join_names.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "http/client.h"
#include "http/server.h"
#include "links/datagram_socket.h"
#include "links/process_servers.h"
#include "platform/store.h"
#include "target/chunk_server.h"
#include "target/engine_controller.h"
#include "target/row_source.h"
#include "target/slot_granter.h"
#include "target/transfer_members.h"

namespace verbenalead::target {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = 300ms;
/// While origin fetches fill the origin's link, the replies to new connections
/// are queued behind them.
constexpr Duration kOriginConnectTimeout = 1s;
constexpr double kPercent = 100;
/// Interval of the rounds in which subscribers are sent changes.
constexpr Duration kUpdateSendInterval = 50ms;
/// In one of this many rounds, subscribers are sent the whole state even if it
/// has not changed, as datagrams can be lost.
constexpr uint64_t kRoundsPerFullUpdate = 20;
/// In one of this many rounds, entries of this data centre are sent changes.
constexpr uint64_t kRoundsPerChangeUpdate = 2;
/// Interval at which subscriptions to the chunk updates of hosts are renewed.
constexpr Duration kFollowInterval = 500ms;
/// Lifetime of a subscription to this host that is not renewed.
constexpr Duration kSubscriptionLifetime = 5s;

http::ClientOptions Connections() {
  http::ClientOptions options;
  options.m_connect_timeout = kConnectTimeout;
  return options;
}

/// The origin accepts few connections of all hosts together, so connections to
/// it are not kept. Kept connections of 45 hosts left none for 31 hosts that
/// connected later.
http::ClientOptions OriginConnections() {
  http::ClientOptions options = Connections();
  options.m_reuse_connections = false;
  options.m_connect_timeout = kOriginConnectTimeout;
  return options;
}

}  // namespace

struct PlatformTarget::Parts {
  explicit Parts(const Settings& settings)
      : m_state(ReadTargetOptions(settings)),
        m_threads(1),
        m_http(Connections()),
        m_store(m_http, m_state.m_options.m_store, m_state.m_metrics),
        m_engine(m_http, m_state.m_options.m_engine),
        m_origin_http(OriginConnections()),
        m_origin(m_origin_http),
        m_fetcher(m_state,
                  m_http,
                  m_origin,
                  [this](const links::OriginFetchUpdate& update) {
                    AnnounceOriginFetches(update);
                  }),
        m_datagrams(m_threads.main(), m_state.m_options.m_peers),
        m_slot_granter(m_state,
                       m_datagrams,
                       [this] { return m_engine_controller.CurrentUpdate(); }),
        m_chunks(
            m_state,
            m_engine,
            [this] { return m_slot_granter.Calls().m_calls > 0; },
            [this](uint64_t version, uint32_t chunk) {
              m_fetcher.RecordCorruptChunk(version, chunk);
            }),
        m_engine_controller(
            m_state,
            m_engine,
            m_fetcher,
            [this] { m_slot_granter.SendToAll(); },
            [this] { return m_pool_utilisation; }),
        m_rows(m_threads.main(), m_state, m_store, m_http),
        m_chunk_server(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return m_chunks.Respond(request, caller);
            }),
        m_metrics(m_threads, {}, links::MetricsHandler(m_state.m_metrics)),
        m_signals(m_threads.main(), SIGTERM, SIGINT, SIGHUP) {}

  void TakeMessage(const Endpoint& sender, const links::Message& message) {
    if (const auto* follow =
            std::get_if<links::SubscriptionRequest>(&message)) {
      HandleFollowRequest(sender, *follow);
    } else if (const auto* calls = std::get_if<links::CallUpdate>(&message)) {
      if (IsOwnReplica(sender, calls->m_replica))
        m_slot_granter.HandleCallReport(sender, *calls);
    } else if (const auto* slot_request =
                   std::get_if<links::SlotRequestMessage>(&message)) {
      if (IsOwnReplica(sender, slot_request->m_replica))
        m_slot_granter.Grant(sender, *slot_request);
    } else if (const auto* withdrawal =
                   std::get_if<links::SlotWithdrawal>(&message)) {
      m_slot_granter.Withdraw(sender, withdrawal->m_ticket);
    } else if (const auto* update = std::get_if<links::ChunkUpdate>(&message)) {
      m_fetcher.HandleChunkUpdate(*update);
    } else if (const auto* origin_fetches =
                   std::get_if<links::OriginFetchUpdate>(&message)) {
      m_fetcher.HandleOriginFetches(*origin_fetches);
    }
  }

  /// Whether `replica`, named in a message of `entry`, is the replica on this
  /// host. If not, reads the list of replicas from `entry`: the replica may
  /// have restarted under a new id, which entries learn before this process.
  /// Until this process knows the new id, it grants no slots at the replica,
  /// and entries have no information about it.
  bool IsOwnReplica(const Endpoint& entry, const std::string& replica) {
    const model::Replica* own = OwnReplica(m_state);
    if (own && own->m_id == replica)
      return true;
    m_rows.RequestReplicaRows(entry);
    return false;
  }

  void HandleFollowRequest(const Endpoint& sender,
                           const links::SubscriptionRequest& request) {
    const TimePoint until = Now() + kSubscriptionLifetime;
    if (request.m_wants_chunks) {
      const bool known = m_chunk_subscribers.contains(sender);
      m_chunk_subscribers[sender] = until;
      if (!known)
        SendChunkUpdate(sender);
      return;
    }
    m_rows.HandleAnnouncement(sender, request);
    // Entries elsewhere learn the state of this replica from the entries of
    // this data centre.
    if (request.m_same_data_center) {
      m_slot_granter.Follow(sender, until);
      m_pool_utilisation = request.m_used_slots_percent / kPercent;
      LearnEvacuations(sender, request.m_evacuated_data_centers, until);
    }
  }

  /// A data centre counts as evacuated as long as any entry says so: entries
  /// learn of a change one after the other, and turns must not change with each
  /// of their messages.
  void LearnEvacuations(const Endpoint& entry,
                        const std::set<std::string>& stated,
                        TimePoint until) {
    m_evacuations[entry] = {stated, until};
    std::erase_if(m_evacuations,
                  [](const auto& each) { return each.second.second <= Now(); });
    std::set<std::string> data_centers;
    for (const auto& [from, evacuated] : m_evacuations)
      data_centers.insert(evacuated.first.begin(), evacuated.first.end());
    if (m_state.m_evacuated_data_centers == data_centers)
      return;
    m_state.m_evacuated_data_centers = data_centers;
    LogLine("evacuations_known")
        .With("data_centers", JoinNames(data_centers))
        .Info();
  }

  void SendChunkUpdate(const Endpoint& to) {
    if (!m_state.m_engine)
      return;
    for (const auto& [version, cached] : m_state.m_cache.versions()) {
      links::ChunkUpdate update;
      update.m_host = m_state.m_options.m_peers.address();
      update.m_model = m_state.m_engine->m_model;
      update.m_version = version;
      update.m_chunks = m_state.m_cache.Held(version);
      m_datagrams.Send(to, update);
    }
  }

  void AnnounceOriginFetches(const links::OriginFetchUpdate& update) {
    for (const decide::TransferMember& member : OtherMembers(m_state))
      m_datagrams.Send(
          Endpoint(member.m_name, m_state.m_options.m_peers.port()), update);
  }

  /// A value that changes when chunks arrive or a newer version is added.
  uint64_t HeldChunkCount() const {
    uint64_t held = 0;
    for (const auto& [version, cached] : m_state.m_cache.versions())
      held += m_state.m_cache.Held(version).size() + version;
    return held;
  }

  /// Sends updates to the subscribed hosts and entries. Doesn't return.
  Awaitable<void> SendNews() {
    uint64_t last_sent = 0;
    uint64_t round = 0;
    while (true) {
      co_await Sleep(kUpdateSendInterval);
      const TimePoint now = Now();
      std::erase_if(m_chunk_subscribers, [now](const auto& follower) {
        return follower.second <= now;
      });
      m_slot_granter.ExpireSilentEntries(now);
      const bool all = ++round % kRoundsPerFullUpdate == 0;
      if (HeldChunkCount() != last_sent || all) {
        last_sent = HeldChunkCount();
        for (const auto& [host, until] : m_chunk_subscribers)
          SendChunkUpdate(host);
      }
      if (all)
        m_slot_granter.SendToAll();
      else if (round % kRoundsPerChangeUpdate == 0)
        m_slot_granter.SendChanges();
    }
  }

  /// Subscribes to the chunk updates of the hosts that the transfers need: to
  /// new ones at once, to all every `kFollowInterval`. Doesn't return.
  Awaitable<void> FollowHosts() {
    std::set<std::string> subscribed;
    TimePoint next_renewal{};
    while (true) {
      const bool all = next_renewal <= Now();
      if (all)
        next_renewal = Now() + kFollowInterval;
      std::set<std::string> needed;
      for (const std::string& host : m_fetcher.FollowedHosts()) {
        needed.insert(host);
        if (!all && subscribed.contains(host))
          continue;
        links::SubscriptionRequest request;
        request.m_wants_chunks = true;
        m_datagrams.Send(Endpoint(host, m_state.m_options.m_peers.port()),
                         request);
      }
      subscribed = std::move(needed);
      co_await Sleep(kUpdateSendInterval);
    }
  }

  Awaitable<void> AwaitSignals() {
    while (true) {
      const int signal = co_await m_signals.async_wait(asio::use_awaitable);
      if (signal != SIGHUP)
        break;
      LogLine("reload").With("changed", false).Info();
    }
    // No caller depends on this process, so there is nothing to drain. A load
    // that was ordered continues in the engine, and the next target process
    // finds it there.
    LogLine("stopping").Info();
    m_threads.Stop();
  }

  TargetState m_state;
  IoThreads m_threads;
  http::Client m_http;
  platform::Store m_store;
  platform::EngineClient m_engine;
  http::Client m_origin_http;
  platform::OriginClient m_origin;
  ChunkFetcher m_fetcher;
  links::DatagramSocket m_datagrams;
  SlotGranter m_slot_granter;
  ChunkServer m_chunks;
  EngineController m_engine_controller;
  RowSource m_rows;
  http::Server m_chunk_server;
  http::Server m_metrics;
  asio::signal_set m_signals;
  /// Share of the slots of this service that are in use, 0 to 1, as last
  /// reported by an entry of this data centre.
  double m_pool_utilisation = 1;
  /// Hosts that subscribed to chunk updates, and when the subscription ends.
  std::map<Endpoint, TimePoint> m_chunk_subscribers;
  /// What entries state of evacuated data centres, and until when it holds.
  std::map<Endpoint, std::pair<std::set<std::string>, TimePoint>> m_evacuations;
};

PlatformTarget::PlatformTarget(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings)) {}

PlatformTarget::~PlatformTarget() = default;

int PlatformTarget::Run() {
  Parts& parts = *m_parts;
  const TargetOptions& options = parts.m_state.m_options;
  LogLine("starting")
      .With("host", options.m_host)
      .With("service", options.m_service)
      .With("engine", ToString(options.m_engine))
      .With("store", ToString(options.m_store))
      .Info();
  if (!links::ListenAll({{&parts.m_chunk_server, options.m_peers},
                         {&parts.m_metrics, options.m_metrics}}))
    return 1;
  const auto main = parts.m_threads.main();
  parts.m_rows.Start();
  SpawnLoop(main, parts.m_engine_controller.Run(), "keep_engine");
  SpawnLoop(main, parts.SendNews(), "send_news");
  SpawnLoop(main, parts.FollowHosts(), "follow_hosts");
  SpawnLoop(main, parts.AwaitSignals(), "await_signals");
  SpawnLoop(main,
            parts.m_datagrams.Receive([&parts](const Endpoint& sender,
                                               const links::Message& message) {
              parts.TakeMessage(sender, message);
            }),
            "receive");
  parts.m_threads.Run();
  return 0;
}

}  // namespace verbenalead::target
