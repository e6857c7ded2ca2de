#include "target/platform_target.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <set>

#include "base/io_threads.h"
#include "base/log.h"
#include "base/pacer.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/change_source.h"
#include "decide/replica_pool.h"
#include "http/client.h"
#include "http/server.h"
#include "links/datagrams.h"
#include "links/process_servers.h"
#include "links/relayed_rows.h"
#include "links/table_follower.h"
#include "platform/names.h"
#include "platform/store.h"
#include "target/engine_keeper.h"
#include "target/entry_follower.h"
#include "target/target_rows.h"

namespace verbenalead::target {
namespace {

namespace asio = boost::asio;

/// Replicas: asked for anew when a transfer begins.
constexpr links::FollowPace kReplicaPace = {Duration(), 30s};
constexpr Duration kPokeInterval = 300ms;
constexpr Duration kConnectTimeout = 300ms;
/// How often those who follow are told what changed, and all anew.
constexpr Duration kNewsInterval = 50ms;
constexpr uint64_t kRoundsToTellAll = 20;
/// Entries are told what changed: near ones every 0.1 s, far ones, whose bytes
/// are paid for, every 0.6 s. Told every 0.2 s, 31 far entries of 34 targets
/// took a sixth of all that went between regions on a calm day (0.085 GB in
/// place of 0.071); what they don't know of a far replica its target tells them
/// when they ask for a place.
constexpr uint64_t kRoundsToTellNear = 2;
constexpr uint64_t kRoundsToTellFar = 12;
/// How long the calls of an entry count that tells nothing more.
constexpr Duration kCallsHold = 2500ms;
/// How often hosts are asked for their chunk news, and how long such a question
/// holds.
constexpr Duration kFollowInterval = 500ms;
constexpr Duration kFollowHold = 5s;

/// Chunks go out in pieces of this size at this part of the link's rate. Events
/// of live streams leave by the same link: behind three chunks at once they
/// waited over 0.12 s, and a third of the streams were late during a transfer.
/// Behind one piece they wait 4 ms.
constexpr size_t kUploadPiece = 4096;
constexpr double kUploadShare = 0.8;
constexpr Duration kUploadCredit = 20ms;

uint64_t UploadRate(const TargetOptions& options) {
  return static_cast<uint64_t>(static_cast<double>(options.m_link_rate) *
                               kUploadShare);
}

http::ClientOptions Connections() {
  http::ClientOptions options;
  options.m_connect_timeout = kConnectTimeout;
  return options;
}

/// The origin takes few connections of all hosts together; kept ones of 45
/// hosts left no room for the 31 that came later.
http::ClientOptions OriginConnections() {
  http::ClientOptions options = Connections();
  options.m_keep = false;
  return options;
}

}  // namespace

struct PlatformTarget::Parts {
  explicit Parts(const Settings& settings)
      : m_state(ReadTargetOptions(settings)),
        m_threads(1),
        m_http(Connections()),
        m_store(m_http, m_state.m_options.m_store),
        m_engine(m_http, m_state.m_options.m_engine),
        m_origin_http(OriginConnections()),
        m_origin(m_origin_http),
        m_fetcher(m_state, m_http, m_origin),
        m_upload(UploadRate(m_state.m_options), kUploadCredit),
        m_keeper(m_state, m_engine, m_fetcher, [this] { TellEntries(); }),
        m_operator_rows(
            m_threads.main(),
            m_store,
            platform::kOperatorTable,
            [this] {
              return links::FollowPace{
                  Duration(), decide::QuestionInterval(m_changes, Now())};
            },
            [this](const platform::Rows& rows, bool) {
              TakeOperatorRows(rows);
            }),
        m_replica_rows(
            m_threads.main(),
            m_store,
            platform::kReplicaTable,
            [] { return kReplicaPace; },
            [this](const platform::Rows& rows, bool whole) {
              target::TakeReplicaRows(m_state, rows, whole);
            }),
        m_datagrams(m_threads.main(), m_state.m_options.m_peers),
        m_chunks(
            m_threads,
            {},
            [this](const wire::Request& request, wire::ResponseWriter& caller) {
              return TellWeights(request, caller);
            }),
        m_metrics(m_threads, {}, links::MetricsHandler(m_state.m_metrics)),
        m_signals(m_threads.main(), SIGTERM, SIGINT, SIGHUP) {}

  Awaitable<void> TellWeights(const wire::Request& request,
                              wire::ResponseWriter& caller) {
    if (const CachedVersion* cached = FindDigests(request.m_path)) {
      co_await caller.Send(
          wire::Response(200, {}, FormatDigests(cached->m_digests)));
      co_return;
    }
    std::shared_ptr<const std::string> bytes = FindChunk(request.m_path);
    if (!bytes) {
      co_await caller.Send(wire::Response(404, {}, ""));
      co_return;
    }
    wire::ResponseHead head(200,
                            {{"content-type", "application/octet-stream"}});
    if (!co_await caller.Start(std::move(head)))
      co_return;
    for (size_t begin = 0; begin < bytes->size(); begin += kUploadPiece) {
      std::string piece = bytes->substr(begin, kUploadPiece);
      // With no calls there is nothing that chunks could hold up.
      if (AllCalls().m_calls > 0)
        co_await m_upload.Take(piece.size());
      if (!co_await caller.Write(std::move(piece)))
        co_return;
    }
    co_await caller.Finish({});
  }

  const CachedVersion* FindDigests(const std::string& path) const {
    for (const auto& [version, cached] : m_state.m_cache.versions()) {
      if (m_state.m_engine &&
          path == DigestsPath(m_state.m_engine->m_model, version))
        return &cached;
    }
    return nullptr;
  }

  std::shared_ptr<const std::string> FindChunk(const std::string& path) const {
    for (const auto& [version, cached] : m_state.m_cache.versions()) {
      const std::string prefix = ChunkPrefix(version);
      if (!path.starts_with(prefix))
        continue;
      const uint64_t chunk =
          std::strtoull(path.c_str() + prefix.size(), nullptr, 10);
      if (chunk < cached.m_chunks.size())
        return cached.m_chunks[chunk];
    }
    return nullptr;
  }

  std::string ChunkPrefix(uint64_t version) const {
    const std::string path = ChunkPath(
        m_state.m_engine ? m_state.m_engine->m_model : "", version, 0);
    return path.substr(0, path.rfind('/') + 1);
  }

  void TakeMessage(const Endpoint& sender, const links::Message& message) {
    if (const auto* follow = std::get_if<links::FollowRequest>(&message)) {
      TakeFollower(sender, *follow);
    } else if (const auto* calls = std::get_if<links::CallNews>(&message)) {
      TakeCalls(sender, *calls);
    } else if (const auto* ask = std::get_if<links::PlaceRequest>(&message)) {
      TakeRequest(sender, *ask);
    } else if (const auto* news = std::get_if<links::ChunkNews>(&message)) {
      m_fetcher.TakeNews(*news);
    }
  }

  /// Whether entries speak of the replica on this host. They read the list of
  /// replicas more often than this process, which asks for it at once if they
  /// know another one: the replica has started anew, and a target that doesn't
  /// answer for it leaves the entries to guess.
  bool IsOwn(const std::string& replica) {
    const model::Replica* own = OwnReplica(m_state);
    if (own && own->m_id == replica)
      return true;
    if (Now() >= m_next_poke) {
      m_next_poke = Now() + kPokeInterval;
      m_replica_rows.Poke();
    }
    return false;
  }

  /// Grants a place if the replica has room for one more call.
  void TakeRequest(const Endpoint& sender, const links::PlaceRequest& request) {
    if (!IsOwn(request.m_replica) || !m_state.m_engine)
      return;
    EntryFollower& follower = m_entries[sender];
    follower.m_calls = request.m_calls;
    follower.m_calls_at = Now();
    links::PlaceAnswer answer;
    answer.m_ticket = request.m_ticket;
    answer.m_news = NewsFor(follower);
    const links::ReplicaCalls all = AllCalls();
    answer.m_granted = !answer.m_news.m_loading &&
                       decide::HasRoom(m_state.m_engine->m_slots,
                                       m_state.m_engine->m_prefill_rate,
                                       all.m_calls, all.m_unread);
    follower.m_denied = !answer.m_granted;
    if (answer.m_granted) {
      ++follower.m_calls.m_calls;
      follower.m_calls.m_unread += request.m_prompt_tokens;
    }
    m_datagrams.Send(sender, answer);
  }

  links::ReplicaCalls AllCalls() const {
    links::ReplicaCalls sum;
    for (const auto& [entry, follower] : m_entries) {
      sum.m_calls += follower.m_calls.m_calls;
      sum.m_unread += follower.m_calls.m_unread;
    }
    return sum;
  }

  links::ReplicaNews NewsFor(const EntryFollower& follower) const {
    links::ReplicaNews news = m_keeper.News();
    const links::ReplicaCalls all = AllCalls();
    news.m_elsewhere.m_calls = all.m_calls - follower.m_calls.m_calls;
    news.m_elsewhere.m_unread = all.m_unread - follower.m_calls.m_unread;
    return news;
  }

  void TakeCalls(const Endpoint& sender, const links::CallNews& news) {
    if (!IsOwn(news.m_replica))
      return;
    EntryFollower& follower = m_entries[sender];
    follower.m_calls = news.m_calls;
    follower.m_calls_at = Now();
    // Calls wait at those that were denied a place.
    TellEntries([](const EntryFollower& other, const links::ReplicaNews&) {
      return other.m_denied;
    });
  }

  /// Takes the operator's rows over from a near entry, or asks the store if
  /// that fails.
  Awaitable<void> FetchFrom(Endpoint entry) {
    m_fetching = true;
    const auto rows =
        co_await links::FetchRows(m_http, entry, links::kOperatorRowsPath);
    m_fetching = false;
    if (rows) {
      TakeOperatorRows(rows->m_rows);
      co_return;
    }
    LogLine("rows_not_relayed").With(rows.error()).Warn();
    m_operator_rows.Poke();
  }

  void TakeOperatorRows(const platform::Rows& rows) {
    for (const platform::Row& row : rows.m_rows) {
      if (row.m_key.starts_with(platform::kWeightsKeyPrefix))
        m_changes.m_weights_revision =
            std::max(m_changes.m_weights_revision, row.m_revision);
    }
    // Turns and transfers need to know who is there.
    if (target::TakeOperatorRows(m_state, rows))
      m_replica_rows.Poke();
  }

  void TakeFollower(const Endpoint& sender,
                    const links::FollowRequest& request) {
    const TimePoint until = Now() + kFollowHold;
    if (request.m_chunks) {
      const bool known = m_chunk_followers.contains(sender);
      m_chunk_followers[sender] = until;
      if (!known)
        TellChunks(sender);
      return;
    }
    const decide::ChangeSource source = decide::TakeTold(
        m_changes, request.m_near, request.m_weights_revision, Now());
    if (source == decide::ChangeSource::kNearEntry && !m_fetching)
      Spawn(m_threads.main(), FetchFrom(sender), "fetch");
    else if (source == decide::ChangeSource::kStore)
      m_operator_rows.Poke();
    EntryFollower& follower = m_entries[sender];
    follower.m_until = until;
    follower.m_near = request.m_near;
  }

  /// Tells the followers that `which` picks what changed for them.
  template <typename Which>
  void TellEntries(Which which) {
    if (!OwnReplica(m_state))
      return;
    for (auto& [entry, follower] : m_entries) {
      const links::ReplicaNews news = NewsFor(follower);
      if (follower.m_until <= Now() || !which(follower, news))
        continue;
      follower.m_told = news;
      follower.m_denied = false;
      m_datagrams.Send(entry, news);
    }
  }

  /// The engine's state has changed: all have to know at once.
  void TellEntries() {
    TellEntries(
        [](const EntryFollower&, const links::ReplicaNews&) { return true; });
  }

  void ForgetEntries(TimePoint now) {
    // An entry that died told nothing of the end of its calls.
    for (auto& [entry, follower] : m_entries) {
      if (follower.m_calls_at + kCallsHold <= now)
        follower.m_calls = {};
    }
    std::erase_if(m_entries, [now](const auto& entry) {
      return entry.second.m_until <= now && entry.second.m_calls.m_calls == 0;
    });
  }

  void TellChunks(const Endpoint& to) {
    if (!m_state.m_engine)
      return;
    for (const auto& [version, cached] : m_state.m_cache.versions()) {
      links::ChunkNews news;
      news.m_host = m_state.m_options.m_peers.address();
      news.m_model = m_state.m_engine->m_model;
      news.m_version = version;
      news.m_chunks = m_state.m_cache.Held(version);
      m_datagrams.Send(to, news);
    }
  }

  uint64_t HeldChunks() const {
    uint64_t held = 0;
    for (const auto& [version, cached] : m_state.m_cache.versions())
      held += cached.m_held + version;
    return held;
  }

  Awaitable<void> SendNews() {
    uint64_t told = 0;
    uint64_t round = 0;
    while (true) {
      co_await Sleep(kNewsInterval);
      const TimePoint now = Now();
      std::erase_if(m_chunk_followers, [now](const auto& follower) {
        return follower.second <= now;
      });
      ForgetEntries(now);
      const bool all = ++round % kRoundsToTellAll == 0;
      if (HeldChunks() != told || all) {
        told = HeldChunks();
        for (const auto& [host, until] : m_chunk_followers)
          TellChunks(host);
      }
      const bool near = round % kRoundsToTellNear == 0;
      const bool far = round % kRoundsToTellFar == 0;
      TellEntries(
          [=](const EntryFollower& follower, const links::ReplicaNews& news) {
            const bool due = follower.m_near ? near : far;
            return all || (due && news != follower.m_told);
          });
    }
  }

  Awaitable<void> FollowHosts() {
    std::set<std::string> asked;
    TimePoint ask_all{};
    while (true) {
      const bool all = ask_all <= Now();
      if (all)
        ask_all = Now() + kFollowInterval;
      std::set<std::string> followed;
      for (const std::string& host : m_fetcher.Followed()) {
        followed.insert(host);
        if (!all && asked.contains(host))
          continue;
        links::FollowRequest request;
        request.m_chunks = true;
        m_datagrams.Send(Endpoint(host, m_state.m_options.m_peers.port()),
                         request);
      }
      asked = std::move(followed);
      co_await Sleep(kNewsInterval);
    }
  }

  Awaitable<void> AwaitSignals() {
    while (true) {
      const int signal = co_await m_signals.async_wait(asio::use_awaitable);
      if (signal != SIGHUP)
        break;
      LogLine("reload").With("changed", false).Info();
    }
    // Nothing of ours is under way for callers; a load that was ordered goes on
    // in the engine, and the next process finds it there.
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
  Pacer m_upload;
  EngineKeeper m_keeper;
  links::TableFollower m_operator_rows;
  links::TableFollower m_replica_rows;
  links::Datagrams m_datagrams;
  http::Server m_chunks;
  http::Server m_metrics;
  asio::signal_set m_signals;
  decide::ChangeWatch m_changes;
  bool m_fetching = false;
  TimePoint m_next_poke{};
  /// Who wants news, until when.
  std::map<Endpoint, TimePoint> m_chunk_followers;
  std::map<Endpoint, EntryFollower> m_entries;
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
  if (!links::ListenAll({{&parts.m_chunks, options.m_peers},
                         {&parts.m_metrics, options.m_metrics}}))
    return 1;
  const auto main = parts.m_threads.main();
  SpawnLoop(main, parts.m_operator_rows.Run(), "operator_rows");
  SpawnLoop(main, parts.m_replica_rows.Run(), "replica_rows");
  SpawnLoop(main, parts.m_keeper.Run(), "keep_engine");
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
