#include "target/staged_chunk_reader.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

#include "base/spawn.h"

namespace verbenalead::target {
namespace {

namespace asio = boost::asio;

constexpr uint32_t kMaxParallelReads = 8;
/// Limit of the bytes of all chunks that are read at the same time.
constexpr uint64_t kMaxBytesInFlight = uint64_t{4} << 20;

/// State of one read-back, shared by its readers.
struct ReadBack {
  ReadBack(const asio::any_io_executor& executor,
           platform::EngineClient& engine,
           const model::EngineProfile& profile,
           const StagedChunkHandler& handle)
      : m_engine(engine),
        m_model(profile.m_model),
        m_chunks(profile.m_chunks),
        m_handle(handle),
        m_finished(executor, TimePoint::max()) {}

  platform::EngineClient& m_engine;
  const std::string m_model;
  const uint32_t m_chunks;
  const StagedChunkHandler m_handle;
  uint32_t m_next_chunk = 0;
  uint32_t m_running_readers = 0;
  /// Never expires; cancelled when the last reader ends.
  asio::steady_timer m_finished;
};

/// Counts a reader as running. An exception in a reader must not leave the
/// read-back waiting for it.
class RunningReader {
 public:
  explicit RunningReader(ReadBack& read_back) : m_read_back(read_back) {}
  RunningReader(const RunningReader&) = delete;
  RunningReader& operator=(const RunningReader&) = delete;
  ~RunningReader() {
    if (--m_read_back.m_running_readers == 0)
      m_read_back.m_finished.cancel();
  }

 private:
  ReadBack& m_read_back;
};

Awaitable<void> ReadChunks(std::shared_ptr<ReadBack> read_back) {
  const RunningReader running(*read_back);
  while (read_back->m_next_chunk < read_back->m_chunks) {
    const uint32_t chunk = read_back->m_next_chunk++;
    const auto bytes =
        co_await read_back->m_engine.ReadStaged(read_back->m_model, chunk);
    if (!read_back->m_handle(chunk, bytes))
      read_back->m_next_chunk = read_back->m_chunks;
  }
}

}  // namespace

uint32_t ParallelReads(const model::EngineProfile& profile) {
  const uint64_t fitting =
      kMaxBytesInFlight / std::max<uint64_t>(1, profile.m_chunk_bytes);
  return static_cast<uint32_t>(
      std::clamp<uint64_t>(fitting, 1, kMaxParallelReads));
}

Awaitable<void> ReadStagedChunks(platform::EngineClient& engine,
                                 const model::EngineProfile& profile,
                                 const StagedChunkHandler& handle) {
  const auto executor = co_await asio::this_coro::executor;
  const auto read_back =
      std::make_shared<ReadBack>(executor, engine, profile, handle);
  read_back->m_running_readers =
      std::min(ParallelReads(profile), profile.m_chunks);
  const uint32_t readers = read_back->m_running_readers;
  for (uint32_t reader = 0; reader < readers; ++reader)
    Spawn(executor, ReadChunks(read_back), "read_back");
  boost::system::error_code ignored;
  while (read_back->m_running_readers > 0) {
    co_await read_back->m_finished.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace verbenalead::target
