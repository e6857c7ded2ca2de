#ifndef VERBENALEAD_DAEMON_WEIGHTS_FETCHER_H_
#define VERBENALEAD_DAEMON_WEIGHTS_FETCHER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "backends/origin.h"
#include "base/pacer.h"
#include "daemon/host_directory.h"
#include "daemon/weights_store.h"
#include "decide/transfer/transfer.h"
#include "model/version_spec.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Bytes of weights received since the process started, by source.
struct TransferCounters {
  std::atomic<uint64_t> m_origin_bytes{0};
  std::atomic<uint64_t> m_peer_bytes{0};
};

/// Fetches the weights of one version into the store. Chunks come from other
/// hosts of the pool and from the origin; decide/transfer.h chooses the source
/// of each. Runs on one thread.
class WeightsFetcher {
 public:
  struct Options {
    decide::TransferMember m_self;
    std::string m_pool;
    decide::TransferPreference m_preference =
        decide::TransferPreference::kTimeFirst;
    uint32_t m_origin_budget_percent = 100;
    /// The chunk size is taken from the manifest.
    decide::TransferLinks m_links;
  };

  WeightsFetcher(Options options,
                 WeightsStore& store,
                 HostDirectory& hosts,
                 wire::Client& peers,
                 backends::Origin& origin,
                 Pacer& download,
                 TransferCounters& counters);

  /// Returns true once the store holds all chunks, and false as soon as
  /// `wanted` returns false.
  Awaitable<AsyncResult<bool>> Fetch(model::VersionSpec version,
                                     std::function<bool()> wanted);

 private:
  struct Transfer;

  Awaitable<AsyncResult<model::Manifest>> FetchManifest(
      model::VersionSpec version);
  Awaitable<AsyncResult<std::string>> ManifestFromPeers(
      model::VersionSpec version);
  /// Runs one step of the transfer state machine and executes its actions.
  void DoStep(std::shared_ptr<Transfer> run,
              const boost::asio::any_io_executor& executor);
  Awaitable<void> FetchChunk(std::shared_ptr<Transfer> run,
                             decide::FetchChunk fetch,
                             std::shared_ptr<const bool> cancelled);
  Awaitable<AsyncResult<std::string>> ReadFromPeer(
      std::shared_ptr<Transfer> run,
      decide::FetchChunk fetch,
      std::shared_ptr<const bool> cancelled);
  Awaitable<AsyncResult<std::string>> ReadFromOrigin(
      std::shared_ptr<Transfer> run,
      uint32_t chunk);
  Awaitable<void> FollowHost(std::shared_ptr<Transfer> run,
                             std::string name,
                             std::shared_ptr<const bool> cancelled);
  /// Reads announcements of chunks from a host until their stream ends. Returns
  /// false if the stream failed.
  Awaitable<bool> ReadAnnouncements(std::shared_ptr<Transfer> run,
                                    std::string name,
                                    std::shared_ptr<const bool> cancelled);
  void UpdateMembers(Transfer& run);

  const Options m_options;
  WeightsStore& m_store;
  HostDirectory& m_hosts;
  wire::Client& m_peers;
  backends::Origin& m_origin;
  Pacer& m_download;
  TransferCounters& m_counters;
  std::mt19937_64 m_random;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_WEIGHTS_FETCHER_H_
