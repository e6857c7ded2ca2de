#ifndef VERBENALEAD_TARGET_CHUNK_FETCHER_H_
#define VERBENALEAD_TARGET_CHUNK_FETCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/transfer_limits.h"
#include "decide/transfer_member.h"
#include "links/chunk_news.h"
#include "platform/origin_client.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Brings one version's chunks into the cache, from other hosts and the origin,
/// as the transfer core decides.
class ChunkFetcher {
 public:
  ChunkFetcher(TargetState& state,
               wire::Client& peers,
               platform::OriginClient& origin);
  ~ChunkFetcher();

  /// Fetches `version` until it is whole or `Stop` is called.
  Awaitable<void> Fetch(uint64_t version);
  /// Learns the digests of `version` while another one comes in, and draws what
  /// is this host's part of it once the other needs nothing of the origin any
  /// more: its link would stand idle meanwhile, and it may be gone later. Ends
  /// when that one does. Does nothing while it is under way.
  Awaitable<void> DrawAhead(uint64_t version);
  /// Each chunk of the version under way is held by some host, so that the
  /// origin isn't needed for it any more.
  bool IsDrawn() const;
  /// Gives up what is under way: another version is wanted more.
  void Stop();
  /// The version under way; 0: none.
  uint64_t version() const;
  /// A chunk came in not long ago.
  bool progressing() const;
  /// What another host told.
  void TakeNews(const links::ChunkNews& news);
  /// Hosts whose news are wanted.
  std::vector<std::string> Followed() const;
  /// The digests of `version`, from other hosts and the origin; false: they are
  /// not to be had now.
  Awaitable<bool> LearnDigests(uint64_t version);

 private:
  struct Transfer;
  /// A chunk on its way here.
  struct Arrival {
    bool m_cancelled = false;
    /// Null before the host has been reached, and after the answer.
    wire::ResponseReader* m_reader = nullptr;
  };

  /// Hosts that ask the origin for the digests of `version`.
  std::set<std::string> DigestReaders(uint64_t version) const;
  bool ReadsDigests(uint64_t version) const;
  /// What two of `answers` and of the origin's say.
  Awaitable<std::optional<std::vector<Digest>>> DigestsFromOrigin(
      uint64_t version,
      std::vector<std::vector<Digest>> answers);
  /// Digests that other hosts tell, as many as answer.
  Awaitable<std::vector<std::vector<Digest>>> DigestsFromHosts(
      uint64_t version);
  /// A transfer of `version` that begins now.
  std::shared_ptr<Transfer> Begin(uint64_t version,
                                  const decide::TransferLimits& limits,
                                  const boost::asio::any_io_executor& executor);
  /// Does what the transfer asks for until it is whole or stopped.
  Awaitable<void> Run(std::shared_ptr<Transfer> transfer,
                      boost::asio::any_io_executor executor);
  static void StopTransfer(std::shared_ptr<Transfer>& transfer);
  /// The hosts that take part beside this one.
  bool IsNear(const std::string& host) const;
  std::vector<decide::TransferMember> OtherMembers() const;
  void UpdateMembers(Transfer& transfer);
  void DoStep(const std::shared_ptr<Transfer>& transfer,
              const boost::asio::any_io_executor& executor);
  Awaitable<void> FetchChunk(std::shared_ptr<Transfer> transfer,
                             uint32_t chunk,
                             std::string host,
                             std::shared_ptr<Arrival> arrival);
  Awaitable<AsyncResult<std::string>> ReadFromHost(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::string host,
      std::shared_ptr<Arrival> arrival);
  Awaitable<AsyncResult<std::string>> ReadChunkFrom(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::string host,
      wire::ResponseReader& reader);

  TargetState& m_state;
  wire::Client& m_peers;
  platform::OriginClient& m_origin;
  std::shared_ptr<Transfer> m_transfer;
  /// The one that only draws.
  std::shared_ptr<Transfer> m_ahead;
  /// A version is about to be drawn ahead; 0: none.
  uint64_t m_ahead_version = 0;
  /// The digests aren't asked for before.
  TimePoint m_next_digests{};
  /// Since when the digests of this version are wanted.
  uint64_t m_digests_version = 0;
  TimePoint m_digests_since{};
};

/// Where other targets get the digests of a version, a line each.
std::string DigestsPath(const std::string& model, uint64_t version);
std::string FormatDigests(const CachedVersion& version);

/// Fields of the query of a request for a chunk: 1 where the sender is in
/// another data centre, and how many chunks of the version it has.
inline constexpr char kFarField[] = "far";
inline constexpr char kHeldField[] = "held";

/// Where other targets get a chunk.
std::string ChunkPath(const std::string& model,
                      uint64_t version,
                      uint32_t chunk);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_FETCHER_H_
