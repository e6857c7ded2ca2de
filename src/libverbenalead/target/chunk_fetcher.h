#ifndef VERBENALEAD_TARGET_CHUNK_FETCHER_H_
#define VERBENALEAD_TARGET_CHUNK_FETCHER_H_

#include <functional>
#include <memory>

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
  /// The digests of `version`, from the origin; false: not to be had now.
  Awaitable<bool> LearnDigests(uint64_t version);

 private:
  struct Transfer;

  void UpdateMembers(Transfer& transfer);
  void DoStep(const std::shared_ptr<Transfer>& transfer,
              const boost::asio::any_io_executor& executor);
  Awaitable<void> FetchChunk(std::shared_ptr<Transfer> transfer,
                             uint32_t chunk,
                             std::string host,
                             std::shared_ptr<const bool> cancelled);
  Awaitable<AsyncResult<std::string>> ReadFromHost(
      std::shared_ptr<Transfer> transfer,
      uint32_t chunk,
      std::string host,
      std::shared_ptr<const bool> cancelled);

  TargetState& m_state;
  wire::Client& m_peers;
  platform::OriginClient& m_origin;
  std::shared_ptr<Transfer> m_transfer;
};

/// Where other targets get a chunk.
std::string ChunkPath(const std::string& model,
                      uint64_t version,
                      uint32_t chunk);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_FETCHER_H_
