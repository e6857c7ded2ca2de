#include "daemon/weights_fetcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "decide/rendezvous.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kAskTimeout = 1s;
constexpr Duration kChunkTimeout = 20s;
constexpr Duration kStep = 10ms;
constexpr Duration kAskInterval = 50ms;
constexpr Duration kManifestRetry = 100ms;
/// A host that isn't the manifest's drawer waits this many tries for a peer.
constexpr int kManifestPatience = 20;
constexpr size_t kMaxManifest = size_t{64} << 20;
/// Neighbours asked for news. Enough that two random hosts are a few hops
/// apart at any size of fleet, few enough that control stays small.
constexpr size_t kMaxNeighbours = 16;
/// The manifest is drawn by the host that this number's hash names.
constexpr uint64_t kManifestNumber = ~uint64_t{0};

std::vector<bool> ReadBits(const std::string& bits, uint32_t count) {
  std::vector<bool> have(count);
  for (uint32_t i = 0; i < count && i / 8 < bits.size(); ++i)
    have[i] = bits[i / 8] >> (i % 8) & 1;
  return have;
}

}  // namespace

struct WeightsFetcher::Run {
  model::VersionSpec m_version;
  model::Manifest m_manifest;
  decide::TransferState m_transfer;
  std::map<std::string, model::Host> m_neighbours;
  std::map<std::string, TimePoint> m_next_ask;
};

WeightsFetcher::WeightsFetcher(std::string host,
                               std::string pool,
                               WeightsStore& store,
                               HostDirectory& hosts,
                               wire::Client& peers,
                               platform::Origin& origin,
                               Pacer& download,
                               TransferCounters& counters)
    : m_host(std::move(host)),
      m_pool(std::move(pool)),
      m_store(store),
      m_hosts(hosts),
      m_peers(peers),
      m_origin(origin),
      m_download(download),
      m_counters(counters),
      m_random(decide::MixHash(m_host, 0)) {}

Awaitable<AsyncResult<bool>> WeightsFetcher::Fetch(
    model::VersionSpec version,
    std::function<bool()> wanted) {
  auto manifest = co_await FetchManifest(version);
  if (!manifest)
    co_return manifest.error();
  auto run = std::make_shared<Run>();
  run->m_version = version;
  run->m_manifest = *manifest;
  run->m_transfer = decide::StartTransfer(m_host, manifest->chunk_count(),
                                          decide::TransferLimits{}, Now());
  const std::vector<bool> have = m_store.Have(manifest->whole());
  for (uint32_t chunk = 0; chunk < have.size(); ++chunk) {
    if (have[chunk])
      decide::ChunkArrived(run->m_transfer, chunk);
  }
  const auto executor = co_await asio::this_coro::executor;
  while (!decide::IsComplete(run->m_transfer)) {
    if (!wanted())
      co_return false;
    UpdateMembers(*run);
    for (const auto& [name, host] : run->m_neighbours) {
      TimePoint& next = run->m_next_ask[name];
      if (Now() < next)
        continue;
      next = Now() + kAskTimeout;
      asio::co_spawn(executor, AskNeighbour(run, host), asio::detached);
    }
    for (const decide::FetchChunk& fetch :
         decide::NextFetches(run->m_transfer, Now(), m_random))
      asio::co_spawn(executor, FetchChunk(run, fetch), asio::detached);
    co_await Sleep(kStep);
  }
  co_return true;
}

void WeightsFetcher::UpdateMembers(Run& run) {
  std::vector<std::string> members;
  std::vector<model::Host> others;
  for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
    if (host.pool() != m_pool || host.leaving())
      continue;
    members.push_back(host.name());
    if (host.name() != m_host)
      others.push_back(host);
  }
  decide::SetMembers(run.m_transfer, std::move(members));
  if (run.m_neighbours.size() >= std::min(kMaxNeighbours, others.size()))
    return;
  std::shuffle(others.begin(), others.end(), m_random);
  for (const model::Host& host : others) {
    if (run.m_neighbours.size() >= kMaxNeighbours)
      break;
    run.m_neighbours.emplace(host.name(), host);
  }
}

Awaitable<void> WeightsFetcher::AskNeighbour(std::shared_ptr<Run> run,
                                             model::Host host) {
  wire::Request request;
  request.m_path = "/v1/have/" + ToString(run->m_manifest.whole());
  auto response = co_await wire::Fetch(m_peers, host.peer(), std::move(request),
                                       Now() + kAskTimeout);
  run->m_next_ask[host.name()] = Now() + kAskInterval;
  if (!response) {
    decide::NeighbourLost(run->m_transfer, host.name());
    co_return;
  }
  decide::NeighbourHas(
      run->m_transfer, host.name(),
      ReadBits(response->m_body, run->m_manifest.chunk_count()));
}

Awaitable<AsyncResult<std::string>> WeightsFetcher::ReadChunk(
    std::shared_ptr<Run> run,
    decide::FetchChunk fetch) {
  const model::Manifest& manifest = run->m_manifest;
  const uint64_t length = manifest.ChunkLength(fetch.m_chunk);
  if (fetch.m_source.IsOrigin()) {
    auto bytes = co_await m_origin.GetRange(
        run->m_version.m_weights, fetch.m_chunk * manifest.chunk_size(),
        length);
    if (bytes)
      m_counters.m_origin_bytes += bytes->size();
    co_return bytes;
  }
  auto host = run->m_neighbours.find(fetch.m_source.m_host);
  wire::Request request;
  request.m_priority = wire::Priority::kBulk;
  request.m_path = "/v1/chunk/" + ToString(manifest.whole()) + "/" +
                   std::to_string(fetch.m_chunk);
  auto response =
      co_await wire::Fetch(m_peers, host->second.peer(), std::move(request),
                           Now() + kChunkTimeout, length);
  if (!response)
    co_return response.error();
  if (response->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "fetch chunk",
                      fetch.m_source.m_host, response->m_body};
  }
  m_counters.m_peer_bytes += response->m_body.size();
  co_return std::move(response->m_body);
}

Awaitable<void> WeightsFetcher::FetchChunk(std::shared_ptr<Run> run,
                                           decide::FetchChunk fetch) {
  auto bytes = co_await ReadChunk(run, fetch);
  AsyncResult<void> kept;
  if (bytes) {
    co_await m_download.Take(bytes->size());
    kept = CatchFailure([&] {
      return m_store.Put(run->m_manifest.whole(), fetch.m_chunk,
                         std::move(*bytes));
    });
  } else {
    kept = bytes.error();
  }
  if (kept) {
    decide::ChunkArrived(run->m_transfer, fetch.m_chunk);
    co_return;
  }
  const bool corrupt = kept.error().m_code == FailureCode::kCorrupt;
  LogLine("chunk_failed")
      .With("chunk", uint64_t{fetch.m_chunk})
      .With("source",
            fetch.m_source.IsOrigin() ? "origin" : fetch.m_source.m_host)
      .With(kept.error())
      .Info();
  decide::ChunkFailed(run->m_transfer, fetch.m_chunk, corrupt, Now());
}

Awaitable<AsyncResult<std::string>> WeightsFetcher::ManifestFromPeers(
    model::VersionSpec version) {
  std::vector<model::Host> hosts = m_hosts.Hosts(model::HostRole::kTarget);
  std::shuffle(hosts.begin(), hosts.end(), m_random);
  if (hosts.size() > kMaxNeighbours)
    hosts.resize(kMaxNeighbours);
  for (const model::Host& host : hosts) {
    if (host.name() == m_host)
      continue;
    wire::Request request;
    request.m_path = "/v1/manifest/" + ToString(version.m_digest);
    auto response =
        co_await wire::Fetch(m_peers, host.peer(), std::move(request),
                             Now() + kAskTimeout, kMaxManifest);
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
  for (int tries = 0;; ++tries) {
    auto text = co_await ManifestFromPeers(version);
    std::vector<std::string> members;
    for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
      if (host.pool() == m_pool)
        members.push_back(host.name());
    }
    const bool ours =
        decide::RendezvousChoice(members, kManifestNumber) == m_host;
    if (!text && (ours || tries > kManifestPatience)) {
      text = co_await m_origin.Get(version.m_manifest, kMaxManifest);
      if (text)
        m_counters.m_origin_bytes += text->size();
    }
    if (!text || Sha256(*text) != version.m_manifest_digest) {
      if (tries > 2 * kManifestPatience) {
        co_return Failure{FailureCode::kCorrupt, "fetch manifest",
                          version.m_name,
                          "no manifest with the declared digest"};
      }
      co_await Sleep(kManifestRetry);
      continue;
    }
    auto manifest = CatchFailure([&] { return model::ParseManifest(*text); });
    if (!manifest)
      co_return manifest.error();
    if (manifest->whole() != version.m_digest) {
      co_return Failure{FailureCode::kCorrupt, "check manifest", version.m_name,
                        "it is of another version"};
    }
    auto begun = CatchFailure([&] { return m_store.Begin(*manifest, *text); });
    if (!begun)
      co_return begun.error();
    co_return *manifest;
  }
}

}  // namespace verbenalead::daemon
