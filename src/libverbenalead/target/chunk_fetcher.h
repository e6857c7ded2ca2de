#ifndef VERBENALEAD_TARGET_CHUNK_FETCHER_H_
#define VERBENALEAD_TARGET_CHUNK_FETCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decide/transfer_limits.h"
#include "links/chunk_news.h"
#include "links/draw_news.h"
#include "platform/origin_client.h"
#include "target/digest_learner.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Brings one version's chunks into the cache, from other hosts and the origin,
/// as the transfer core decides.
class ChunkFetcher {
 public:
  /// `tell_draws` tells all other hosts of the service.
  ChunkFetcher(TargetState& state,
               wire::Client& peers,
               platform::OriginClient& origin,
               std::function<void(const links::DrawNews&)> tell_draws);
  ~ChunkFetcher();

  /// Fetches `version`, in place of any other one, until it is whole; goes on
  /// with what was fetched of it ahead.
  Awaitable<void> Fetch(uint64_t version);
  /// Learns the digests of `version` while another one comes in, and brings it
  /// in as well once the other needs nothing of the origin any more: the
  /// origin's link and this host's would stand idle meanwhile, and the origin
  /// may be gone later. Does nothing while it is under way.
  Awaitable<void> FetchAhead(uint64_t version);
  /// Each chunk of the version under way is held by some host, so that the
  /// origin isn't needed for it any more.
  bool IsDrawn() const;
  /// The version under way; 0: none.
  uint64_t version() const;
  /// A chunk came in not long ago.
  bool progressing() const;
  /// What another host told.
  void TakeNews(const links::ChunkNews& news);
  /// Another host draws chunks.
  void TakeDraws(const links::DrawNews& news);
  /// A chunk of `version` that had come has gone bad beside the engine.
  void NoteSpoilt(uint64_t version, uint32_t chunk);
  /// Hosts whose news are wanted.
  std::vector<std::string> Followed() const;
  /// As in DigestLearner.
  Awaitable<bool> LearnDigests(uint64_t version) {
    return m_digests.Learn(version);
  }

 private:
  struct Transfer;
  /// A chunk on its way here.
  struct Arrival {
    bool m_cancelled = false;
    /// Null before the host has been reached, and after the answer.
    wire::ResponseReader* m_reader = nullptr;
  };

  /// A transfer of `version` that begins now.
  std::shared_ptr<Transfer> Begin(uint64_t version,
                                  const decide::TransferLimits& limits,
                                  const boost::asio::any_io_executor& executor);
  /// Does what the transfer asks for until it is whole or stopped.
  Awaitable<void> Run(std::shared_ptr<Transfer> transfer,
                      boost::asio::any_io_executor executor);
  /// `transfer` is over.
  void End(const std::shared_ptr<Transfer>& transfer);
  static void StopTransfer(std::shared_ptr<Transfer>& transfer);
  /// Tells others which chunks are drawn here, and that `drawn` have come.
  void TellDraws(Transfer& transfer, std::vector<uint32_t> drawn);
  /// The origin has sent a chunk, or hasn't for this reason.
  void NoteOrigin(bool answers, const std::string& reason);
  bool IsNear(const std::string& host) const;
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
  DigestLearner m_digests;
  const std::function<void(const links::DrawNews&)> m_tell_draws;
  std::shared_ptr<Transfer> m_transfer;
  /// The one of a newer version.
  std::shared_ptr<Transfer> m_ahead;
  bool m_origin_answers = true;
  /// A version is about to be fetched ahead; 0: none.
  uint64_t m_ahead_version = 0;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_FETCHER_H_
