#ifndef VERBENALEAD_TARGET_CHUNK_FETCHER_H_
#define VERBENALEAD_TARGET_CHUNK_FETCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decide/transfer/given_up_version.h"
#include "decide/transfer/origin_probe.h"
#include "decide/transfer/transfer_limits.h"
#include "links/chunk_update.h"
#include "links/origin_fetch_update.h"
#include "platform/origin_client.h"
#include "target/digest_reader.h"
#include "target/supply_tracker.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Fetches the chunks of a version into the cache, from other hosts and from
/// the origin. `decide::Step` selects the chunks and their sources; this class
/// does the input and output.
class ChunkFetcher {
 public:
  /// `announce_origin_fetches` sends the announcement to all other hosts of the
  /// service.
  ChunkFetcher(TargetState& state,
               wire::Client& peers,
               platform::OriginClient& origin,
               std::function<void(const links::OriginFetchUpdate&)>
                   announce_origin_fetches);
  ~ChunkFetcher();

  /// Fetches `version` until it is complete, and stops the transfer of any
  /// other version. If `Prefetch` is fetching `version`, that transfer is
  /// continued.
  Awaitable<void> Fetch(uint64_t version);
  /// Obtains the digests of `version` while another version is fetched, and
  /// fetches its chunks as well once the other version no longer needs the
  /// origin. Otherwise the links of the origin and of this host would be idle
  /// in the meantime, and the origin may be unreachable later. Does nothing if
  /// `version` is already fetched ahead.
  Awaitable<void> Prefetch(uint64_t version);
  /// Whether each chunk of the version that is fetched is held by some host, so
  /// that the origin is no longer needed for it.
  bool OriginNoLongerNeeded() const;
  /// The version that is fetched now; 0: none.
  uint64_t version() const;
  /// Whether the last chunk arrived recently, so that the transfer has not
  /// stalled.
  bool is_progressing() const;
  /// Handles an update from another host about the chunks that it holds.
  void HandleChunkUpdate(const links::ChunkUpdate& update);
  /// Handles an announcement of another host's origin fetches.
  void HandleOriginFetches(const links::OriginFetchUpdate& update);
  /// A staged chunk of `version` was found to be corrupt and has to be fetched
  /// again.
  void RecordCorruptChunk(uint64_t version, uint32_t chunk);
  /// Stops the transfers of `versions`, never fetches them again, and tells the
  /// other hosts.
  void GiveUp(const std::vector<decide::GivenUpVersion>& versions);
  bool IsGivenUp(uint64_t version) const { return m_supply.IsGivenUp(version); }
  /// The number of chunks of `version` that no host is known to have.
  uint32_t MissingEverywhere(uint64_t version) const;
  /// Time in which the origin sends a chunk.
  Duration OriginInterval() const;
  /// Hosts whose chunk updates the transfers need.
  std::vector<std::string> FollowedHosts() const;
  /// See `DigestReader::Obtain`.
  Awaitable<bool> ObtainDigests(uint64_t version) {
    return m_digests.Obtain(version);
  }

 private:
  struct Transfer;
  /// Time limits for the response to a request for a chunk.
  struct ReadDeadlines {
    TimePoint m_head{};
    /// From one piece of the body to the next.
    Duration m_piece{};
    TimePoint m_end{};
  };
  /// A chunk that is being fetched.
  struct PendingFetch {
    bool m_cancelled = false;
    /// Null until the connection is open, and after the response ended.
    wire::ResponseReader* m_reader = nullptr;
  };

  /// Creates the transfer of `version`, which starts now.
  std::shared_ptr<Transfer> CreateTransfer(
      uint64_t version,
      const decide::TransferLimits& limits,
      const boost::asio::any_io_executor& executor);
  /// Performs the actions that the transfer decides on, until it is complete or
  /// stopped, or the digests are found to be wrong.
  Awaitable<void> Run(std::shared_ptr<Transfer> transfer,
                      boost::asio::any_io_executor executor);
  /// When the core of `transfer` is to be called again, if no event comes
  /// first.
  static TimePoint NextStepTime(const Transfer& transfer);
  /// Releases `transfer`, which has ended.
  void End(const std::shared_ptr<Transfer>& transfer);
  static void StopTransfer(std::shared_ptr<Transfer>& transfer);
  /// Announces to the other hosts which chunks this host is fetching from the
  /// origin, and which ones it has just fetched from there (`fetched`).
  void AnnounceOriginFetches(
      Transfer& transfer,
      std::vector<uint32_t> fetched,
      decide::OriginStatus status = decide::OriginStatus::kNotStated);
  /// An announcement about `version`, with the versions before it that were
  /// given up.
  links::OriginFetchUpdate Announcement(uint64_t version) const;
  /// Records and logs whether the origin answers. `source`: where this is known
  /// from; `reason`: the failure if it doesn't.
  void RecordOriginState(bool answers,
                         const std::string& source,
                         const std::string& reason);
  /// Adopts what the core of a transfer knows of the origin.
  void AdoptProbe(const decide::OriginProbe& probe,
                  const std::string& source,
                  const std::string& reason);
  /// The head of a response of the origin was received.
  void HandleOriginAnswer(Transfer& transfer);
  /// Handles what an announcement says of the origin, for transfers of other
  /// versions than that of `update`.
  void HandleOriginStatus(const links::OriginFetchUpdate& update);
  /// Gives up the versions that another host announced.
  void AdoptGivenUp(const links::OriginFetchUpdate& update);
  /// Returns whether `version` was not given up before.
  bool StopFetching(uint64_t version);
  bool IsInSameDataCenter(const std::string& host) const;
  void UpdateMembers(Transfer& transfer);
  void DoStep(const std::shared_ptr<Transfer>& transfer,
              const boost::asio::any_io_executor& executor);
  Awaitable<void> FetchChunk(std::shared_ptr<Transfer> transfer,
                             uint32_t chunk,
                             std::string host,
                             std::shared_ptr<PendingFetch> arrival);
  Awaitable<AsyncResult<std::string>> ReadFromHost(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::string host,
      std::shared_ptr<PendingFetch> arrival);
  Awaitable<AsyncResult<std::string>> ReadFromOrigin(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::shared_ptr<PendingFetch> arrival);
  /// `host`: empty for the origin.
  Awaitable<AsyncResult<std::string>> ReadChunkFrom(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::string host,
      wire::ResponseReader& reader,
      ReadDeadlines deadlines);

  TargetState& m_state;
  wire::Client& m_peers;
  platform::OriginClient& m_origin;
  DigestReader m_digests;
  const std::function<void(const links::OriginFetchUpdate&)>
      m_announce_origin_fetches;
  std::shared_ptr<Transfer> m_transfer;
  /// The transfer of a newer version, fetched ahead.
  std::shared_ptr<Transfer> m_prefetch;
  bool m_origin_reachable = true;
  SupplyTracker m_supply;
  /// What the transfers know of the origin, for those that start later.
  decide::OriginProbe m_probe;
  /// The version that `Prefetch` prepares or fetches; 0: none.
  uint64_t m_prefetch_version = 0;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_FETCHER_H_
