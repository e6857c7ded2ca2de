#include "daemon/weights_fetcher.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "daemon/transfer_messages.h"
#include "decide/membership/rendezvous.h"
#include "wire/request_target.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kPeerRequestTimeout = 1s;
/// Interval at which a read checks whether it has been cancelled.
constexpr Duration kCancelPollInterval = 250ms;
constexpr Duration kStepInterval = 5ms;
constexpr Duration kMembersInterval = 500ms;
constexpr Duration kManifestRetryDelay = 100ms;
/// Number of failed attempts to get the manifest from peers after which any
/// host may fetch it from the origin. The designated host may do so at once.
constexpr int kManifestPeerAttempts = 20;
constexpr size_t kMaxManifest = size_t{64} << 20;
/// Maximum number of hosts queried for the manifest in one attempt.
constexpr size_t kMaxPeersQueried = 16;
/// Key of the rendezvous hash that designates the host that fetches the
/// manifest from the origin.
constexpr uint64_t kManifestHashKey = ~uint64_t{0};

bool IsTimeout(const Failure& failure) {
  return failure.m_code == FailureCode::kTimeout;
}

}  // namespace

struct WeightsFetcher::Transfer {
  explicit Transfer(const asio::any_io_executor& executor) : m_wake(executor) {}

  /// Cancelled when a fetch has ended, so that the next step starts at once.
  asio::steady_timer m_wake;
  model::VersionSpec m_version;
  model::Manifest m_manifest;
  decide::TransferState m_transfer;
  std::map<std::string, Endpoint> m_endpoints;
  TimePoint m_next_members{};
  /// Flags that cancel the fetch of a chunk, or the stream of announcements of
  /// a host, when set to true.
  std::map<uint32_t, std::shared_ptr<bool>> m_fetches;
  std::map<std::string, std::shared_ptr<bool>> m_follows;

  void CancelAll() {
    for (auto& [chunk, cancelled] : m_fetches)
      *cancelled = true;
    for (auto& [name, cancelled] : m_follows)
      *cancelled = true;
  }
};

WeightsFetcher::WeightsFetcher(Options options,
                               WeightsStore& store,
                               HostDirectory& hosts,
                               wire::Client& peers,
                               backends::Origin& origin,
                               Pacer& download,
                               TransferCounters& counters)
    : m_options(std::move(options)),
      m_store(store),
      m_hosts(hosts),
      m_peers(peers),
      m_origin(origin),
      m_download(download),
      m_counters(counters),
      m_random(decide::MixHash(m_options.m_self.m_name, 0)) {}

Awaitable<AsyncResult<bool>> WeightsFetcher::Fetch(
    model::VersionSpec version,
    std::function<bool()> wanted) {
  auto manifest = co_await FetchManifest(version);
  if (!manifest)
    co_return manifest.error();
  auto run = std::make_shared<Transfer>(co_await asio::this_coro::executor);
  run->m_version = version;
  run->m_manifest = *manifest;
  decide::TransferLinks links = m_options.m_links;
  links.m_chunk_bytes = manifest->chunk_size();
  const decide::TransferLimits limits = decide::LimitsFor(
      links, m_options.m_preference, m_options.m_origin_budget_percent);
  run->m_transfer = decide::StartTransfer(
      m_options.m_self, manifest->chunk_count(), limits, Now());
  for (uint32_t chunk : m_store.ArrivalsSince(manifest->digest(), 0))
    decide::RecordChunkArrival(run->m_transfer, chunk, Now());
  const auto executor = co_await asio::this_coro::executor;
  const TimePoint start = Now();
  bool still_wanted = wanted();
  while (still_wanted && !decide::IsComplete(run->m_transfer)) {
    UpdateMembers(*run);
    DoStep(run, executor);
    run->m_wake.expires_after(kStepInterval);
    boost::system::error_code ignored;
    co_await run->m_wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    still_wanted = wanted();
  }
  run->CancelAll();
  LogLine("transfer_ended")
      .With("version", version.m_name)
      .With("whole", still_wanted)
      .With("ms", ToMilliseconds(Now() - start))
      .Info();
  co_return still_wanted;
}

void WeightsFetcher::DoStep(std::shared_ptr<Transfer> run,
                            const asio::any_io_executor& executor) {
  const decide::TransferActions actions =
      decide::Step(run->m_transfer, Now(), m_random);
  for (const decide::FetchChunk& cancel : actions.m_cancels) {
    LogLine("chunk_given_up")
        .With("chunk", uint64_t{cancel.m_chunk})
        .With("source", cancel.m_source.m_host)
        .Info();
    *run->m_fetches[cancel.m_chunk] = true;
  }
  for (const std::string& name : actions.m_unfollows)
    *run->m_follows[name] = true;
  for (const std::string& name : actions.m_follows) {
    auto cancelled = std::make_shared<bool>(false);
    run->m_follows[name] = cancelled;
    Spawn(executor, FollowHost(run, name, cancelled), "follow");
  }
  for (const decide::FetchChunk& fetch : actions.m_fetches) {
    auto cancelled = std::make_shared<bool>(false);
    run->m_fetches[fetch.m_chunk] = cancelled;
    LogLine("chunk_source")
        .With("chunk", uint64_t{fetch.m_chunk})
        .With("source",
              fetch.m_source.IsOrigin() ? "origin" : fetch.m_source.m_host)
        .Debug();
    Spawn(executor, FetchChunk(run, fetch, cancelled), "fetch_chunk");
  }
}

void WeightsFetcher::UpdateMembers(Transfer& run) {
  if (Now() < run.m_next_members)
    return;
  run.m_next_members = Now() + kMembersInterval;
  std::vector<decide::TransferMember> members = {m_options.m_self};
  for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
    if (host.pool() != m_options.m_pool || host.leaving() ||
        host.name() == m_options.m_self.m_name)
      continue;
    members.push_back({host.name(), host.region(), host.data_center()});
    run.m_endpoints[host.name()] = host.peer();
  }
  std::sort(members.begin(), members.end());
  decide::SetMembers(run.m_transfer, std::move(members), Now(), m_random);
}

Awaitable<void> WeightsFetcher::FollowHost(
    std::shared_ptr<Transfer> run,
    std::string name,
    std::shared_ptr<const bool> cancelled) {
  const bool ended = co_await ReadAnnouncements(run, name, cancelled);
  if (!ended && !*cancelled)
    decide::RecordNeighbourLoss(run->m_transfer, name, Now(), m_random);
}

Awaitable<bool> WeightsFetcher::ReadAnnouncements(
    std::shared_ptr<Transfer> run,
    std::string name,
    std::shared_ptr<const bool> cancelled) {
  wire::Request request;
  request.m_path = wire::RequestTarget("/v1/have")
                       .Segment(ToString(run->m_manifest.digest()))
                       .Field("follow", 1)
                       .Build();
  auto opened = co_await m_peers.Open(
      run->m_endpoints[name], std::move(request), Now() + kPeerRequestTimeout);
  if (!opened)
    co_return false;
  wire::ResponseReader& reader = **opened;
  auto head = co_await reader.ReadHead(Now() + kPeerRequestTimeout);
  if (!head || head->m_status != 200)
    co_return false;
  HeldChunksReader have_reader(run->m_manifest.chunk_count());
  while (!*cancelled) {
    auto piece = co_await reader.ReadBody(Now() + kCancelPollInterval);
    if (!piece && IsTimeout(piece.error()))
      continue;
    if (!piece)
      co_return false;
    if (!piece->has_value())
      co_return true;
    const std::vector<uint32_t> chunks = have_reader.Read(**piece);
    if (!*cancelled)
      decide::RecordNeighbourChunks(run->m_transfer, name, chunks, Now());
  }
  co_return true;
}

Awaitable<AsyncResult<std::string>> WeightsFetcher::ReadFromOrigin(
    std::shared_ptr<Transfer> run,
    uint32_t chunk) {
  const model::Manifest& manifest = run->m_manifest;
  auto bytes = co_await m_origin.GetRange(run->m_version.m_weights,
                                          chunk * manifest.chunk_size(),
                                          manifest.ChunkLength(chunk));
  if (bytes)
    m_counters.m_origin_bytes += bytes->size();
  co_return bytes;
}

Awaitable<AsyncResult<std::string>> WeightsFetcher::ReadFromPeer(
    std::shared_ptr<Transfer> run,
    decide::FetchChunk fetch,
    std::shared_ptr<const bool> cancelled) {
  const std::string& name = fetch.m_source.m_host;
  const uint64_t length = run->m_manifest.ChunkLength(fetch.m_chunk);
  wire::Request request;
  request.m_priority = wire::Priority::kBulk;
  request.m_path = wire::RequestTarget("/v1/chunk")
                       .Segment(ToString(run->m_manifest.digest()))
                       .Segment(fetch.m_chunk)
                       .Build();
  request.m_headers[kHeldHeader] = std::to_string(run->m_transfer.m_have_count);
  request.m_headers[kRegionHeader] = m_options.m_self.m_region;
  auto opened = co_await m_peers.Open(
      run->m_endpoints[name], std::move(request), Now() + kPeerRequestTimeout);
  if (!opened)
    co_return opened.error();
  wire::ResponseReader& reader = **opened;
  AsyncResult<wire::ResponseHead> head = wire::ResponseHead();
  do {
    head = co_await reader.ReadHead(Now() + kCancelPollInterval);
  } while (!head && IsTimeout(head.error()) && !*cancelled);
  if (!head)
    co_return head.error();
  if (head->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "fetch chunk", name,
                      "status " + std::to_string(head->m_status)};
  }
  std::string bytes;
  bytes.reserve(length);
  while (!*cancelled) {
    auto piece = co_await reader.ReadBody(Now() + kCancelPollInterval);
    if (!piece && IsTimeout(piece.error()))
      continue;
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      co_return bytes;
    if (bytes.size() + (*piece)->size() > length) {
      co_return Failure{FailureCode::kCorrupt, "fetch chunk", name,
                        "longer than declared"};
    }
    bytes += **piece;
    m_counters.m_peer_bytes += (*piece)->size();
    if (!*cancelled)
      decide::RecordChunkProgress(run->m_transfer, fetch.m_chunk, Now());
  }
  co_return Failure{FailureCode::kCancelled, "fetch chunk", name, "given up"};
}

Awaitable<void> WeightsFetcher::FetchChunk(
    std::shared_ptr<Transfer> run,
    decide::FetchChunk fetch,
    std::shared_ptr<const bool> cancelled) {
  AsyncResult<std::string> bytes = std::string();
  if (fetch.m_source.IsOrigin())
    bytes = co_await ReadFromOrigin(run, fetch.m_chunk);
  else
    bytes = co_await ReadFromPeer(run, fetch, cancelled);
  AsyncResult<void> kept;
  if (bytes) {
    co_await m_download.Acquire(bytes->size());
    kept = CatchFailure([&] {
      return m_store.Put(run->m_manifest.digest(), fetch.m_chunk,
                         std::move(*bytes));
    });
  } else {
    kept = bytes.error();
  }
  run->m_wake.cancel();
  if (*cancelled)
    co_return;
  if (kept) {
    decide::RecordChunkArrival(run->m_transfer, fetch.m_chunk, Now());
    co_return;
  }
  const bool corrupt = kept.error().m_code == FailureCode::kCorrupt;
  LogLine("chunk_failed")
      .With("chunk", uint64_t{fetch.m_chunk})
      .With("source",
            fetch.m_source.IsOrigin() ? "origin" : fetch.m_source.m_host)
      .With(kept.error())
      .Info();
  decide::RecordChunkFailure(run->m_transfer, fetch.m_chunk, corrupt, Now(),
                             m_random);
}

Awaitable<AsyncResult<std::string>> WeightsFetcher::ManifestFromPeers(
    model::VersionSpec version) {
  std::vector<model::Host> hosts = m_hosts.Hosts(model::HostRole::kTarget);
  std::shuffle(hosts.begin(), hosts.end(), m_random);
  if (hosts.size() > kMaxPeersQueried)
    hosts.resize(kMaxPeersQueried);
  for (const model::Host& host : hosts) {
    if (host.name() == m_options.m_self.m_name)
      continue;
    wire::Request request;
    request.m_path = wire::RequestTarget("/v1/manifest")
                         .Segment(ToString(version.m_digest))
                         .Build();
    auto response =
        co_await wire::Fetch(m_peers, host.peer(), std::move(request),
                             Now() + kPeerRequestTimeout, kMaxManifest);
    if (response && response->m_status == 200)
      co_return std::move(response->m_body);
  }
  co_return Failure{FailureCode::kNotFound, "fetch manifest", "",
                    "no peer has it"};
}

Awaitable<AsyncResult<model::Manifest>> WeightsFetcher::FetchManifest(
    model::VersionSpec version) {
  if (auto held = m_store.GetManifest(version.m_digest))
    co_return *held;
  for (int attempts = 0;; ++attempts) {
    auto text = co_await ManifestFromPeers(version);
    std::vector<std::string> members;
    for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
      if (host.pool() == m_options.m_pool)
        members.push_back(host.name());
    }
    const bool is_designated =
        decide::RendezvousChoice(members, kManifestHashKey) ==
        m_options.m_self.m_name;
    if (!text && (is_designated || attempts > kManifestPeerAttempts)) {
      text = co_await m_origin.Get(version.m_manifest, kMaxManifest);
      if (text)
        m_counters.m_origin_bytes += text->size();
    }
    if (!text || Sha256(*text) != version.m_manifest_digest) {
      if (attempts > 2 * kManifestPeerAttempts) {
        co_return Failure{FailureCode::kCorrupt, "fetch manifest",
                          version.m_name,
                          "no manifest with the declared digest"};
      }
      co_await Sleep(kManifestRetryDelay);
      continue;
    }
    auto manifest = CatchFailure([&] { return model::ParseManifest(*text); });
    if (!manifest)
      co_return manifest.error();
    if (manifest->digest() != version.m_digest) {
      co_return Failure{FailureCode::kCorrupt, "check manifest", version.m_name,
                        "it is of another version"};
    }
    auto stored =
        CatchFailure([&] { return m_store.Reserve(*manifest, *text); });
    if (!stored)
      co_return stored.error();
    co_return *manifest;
  }
}

}  // namespace verbenalead::daemon
