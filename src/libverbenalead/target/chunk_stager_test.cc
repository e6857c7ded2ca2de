#include "target/chunk_stager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "decide/rollout/read_back.h"
#include "target/staging_engine.h"

namespace verbenalead::target {
namespace {

const std::vector<std::string> kOld = {"old 0", "old 1", "old 2", "old 3"};
const std::vector<std::string> kNew = {"new 0", "new 1", "new 2", "new 3"};

std::vector<Digest> DigestsOf(const std::vector<std::string>& chunks) {
  std::vector<Digest> digests;
  for (const std::string& chunk : chunks)
    digests.push_back(Sha256(chunk));
  return digests;
}

class ChunkStagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkStagerTest);
  CPPUNIT_TEST(RestartedProcessFindsStagedChunks);
  CPPUNIT_TEST(FindsCorruptChunkBeforeLoad);
  CPPUNIT_TEST(KeepsOlderVersionWhileNeeded);
  CPPUNIT_TEST(KeepsChunksWhileEngineIsDown);
  CPPUNIT_TEST(DoesNotReadAdoptedVersionAgain);
  CPPUNIT_TEST(ReadsSeveralChunksAtATime);
  CPPUNIT_TEST(FindsCorruptChunksAmongParallelReads);
  CPPUNIT_TEST(FailedReadIsNoCorruptChunk);
  CPPUNIT_TEST(AReadBackHoldsForALimitedTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_http = std::make_unique<StagingEngine>();
    m_engine = std::make_unique<platform::EngineClient>(
        *m_http, Endpoint("127.0.0.1", 1));
    Restart();
  }

  // Guards against a load of chunks that have been corrupt for seconds: the
  // process was paused between their read-back and the order.
  void AReadBackHoldsForALimitedTime() {
    CPPUNIT_ASSERT(!decide::MayLoadAfterReadBack(m_stager->ReadBackAge(2)));
    Take(2, kNew, 4);
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT(!m_stager->ReadBackAge(2));
    CPPUNIT_ASSERT(Verify(2));
    CPPUNIT_ASSERT(decide::MayLoadAfterReadBack(m_stager->ReadBackAge(2)));
    CPPUNIT_ASSERT(!decide::MayLoadAfterReadBack(m_stager->ReadBackAge(3)));
    CPPUNIT_ASSERT(
        !decide::MayLoadAfterReadBack(decide::kMaxReadBackAge + 1ms));
    // A chunk that is corrupt now doesn't extend the time of the last one.
    m_http->m_chunks["1"] = "rotten";
    const auto before = m_stager->ReadBackAge(2);
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT(*m_stager->ReadBackAge(2) >= *before);
    // What was staged since hasn't been read back.
    CPPUNIT_ASSERT(m_state->m_cache.Put(2, 1, kNew[1]));
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT(!m_stager->ReadBackAge(2));
    CPPUNIT_ASSERT(Verify(2));
    m_stager->ForgetAll();
    CPPUNIT_ASSERT(!m_stager->ReadBackAge(2));
  }

  // Guards against new weights that are 3 s late on a host whose target process
  // was killed during the transfer and fetches all chunks again. Each chunk is
  // staged when it arrives, so that the next process fetches only the rest.
  void RestartedProcessFindsStagedChunks() {
    Take(2, kNew, 3);
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT_EQUAL(3, m_http->m_puts);
    Restart();
    Run(m_stager->FindStaged(2));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_state->m_cache.Held(2).size());
    CPPUNIT_ASSERT(m_state->m_cache.UnstagedChunks(2).empty());
  }

  // Guards against tokens generated from corrupt weights: a chunk becomes
  // corrupt after it was staged. The check before the load must find it, and it
  // has to be fetched again.
  void FindsCorruptChunkBeforeLoad() {
    Take(2, kNew, 4);
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT(Verify(2));
    m_http->m_chunks["1"] = "rotten";
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT(!m_state->m_cache.Complete(2));
    CPPUNIT_ASSERT(m_state->m_cache.Put(2, 1, kNew[1]));
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT(Verify(2));
  }

  // Guards against a service without usable replicas after the deadline of
  // version 2: the first chunks of version 3 overwrite those of version 2 in
  // the staging area, and the rest of version 3 does not arrive.
  void KeepsOlderVersionWhileNeeded() {
    Take(2, kOld, 4);
    Run(m_stager->Stage(2, 1));
    Take(3, kNew, 3);
    Run(m_stager->Stage(3, 1));
    CPPUNIT_ASSERT(m_state->m_cache.Staged(2));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_state->m_cache.UnstagedChunks(3).size());
    Run(m_stager->Stage(3, 2));
    CPPUNIT_ASSERT(m_state->m_cache.UnstagedChunks(3).empty());
    CPPUNIT_ASSERT(!m_state->m_cache.Complete(2));
  }

  void KeepsChunksWhileEngineIsDown() {
    Take(2, kNew, 4);
    m_http->m_unreachable = true;
    Run(m_stager->Stage(2, 1));
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT(m_state->m_cache.Complete(2));
  }

  // Guards against a replica that stays out of service for longer than
  // necessary after a power failure, because its chunks are read back to see
  // which are staged, and again before the load. An incomplete version, and one
  // after a restart of the engine, must still be read.
  void DoesNotReadAdoptedVersionAgain() {
    Take(2, kNew, 4);
    Run(m_stager->Stage(2, 1));
    Restart();
    Run(m_stager->FindStaged(2));
    m_http->m_reads = 0;
    CPPUNIT_ASSERT(Verify(2));
    CPPUNIT_ASSERT_EQUAL(0, m_http->m_reads);
    m_stager->ForgetAll();
    CPPUNIT_ASSERT(!Verify(2) || m_http->m_reads > 0);
    Restart();
    m_http->m_chunks.erase("3");
    Run(m_stager->FindStaged(2));
    m_http->m_reads = 0;
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT_EQUAL(3, m_http->m_reads);
  }

  // Guards against loads that are 0.7 s late because the chunks are read back
  // one after the other, and against a process that holds too many large chunks
  // in memory.
  void ReadsSeveralChunksAtATime() {
    StageMany();
    CPPUNIT_ASSERT(Verify(2));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kMany), m_http->m_reads);
    CPPUNIT_ASSERT_EQUAL(8, m_http->m_most_open_reads);
    m_state->m_engine->m_chunk_bytes = uint64_t{3} << 20;
    m_http->m_most_open_reads = 0;
    CPPUNIT_ASSERT(Verify(2));
    CPPUNIT_ASSERT_EQUAL(1, m_http->m_most_open_reads);
  }

  // Guards against a corrupt chunk that is overlooked, or taken for another
  // one, while several chunks are read at the same time.
  void FindsCorruptChunksAmongParallelReads() {
    StageMany();
    m_http->m_chunks["13"] = "rotten";
    m_http->m_chunks.erase("39");
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT_EQUAL(kMany - 2, m_state->m_cache.Held(2).size());
    const auto& chunks = m_state->m_cache.Find(2)->m_chunks;
    CPPUNIT_ASSERT(!chunks[13].IsPresent() && !chunks[39].IsPresent());
  }

  // Guards against chunks that are fetched again because the engine closed a
  // connection: the check fails, but the chunks count as staged as before.
  void FailedReadIsNoCorruptChunk() {
    StageMany();
    m_http->m_fails_at_read = 20;
    CPPUNIT_ASSERT(!Verify(2));
    CPPUNIT_ASSERT(m_http->m_reads < static_cast<int>(kMany));
    CPPUNIT_ASSERT(m_state->m_cache.Staged(2));
    CPPUNIT_ASSERT(Verify(2));
  }

 private:
  static constexpr size_t kMany = 40;

  /// Stages kMany chunks of version 2 in an engine that takes time for a read.
  void StageMany() {
    std::vector<std::string> chunks;
    for (size_t i = 0; i < kMany; ++i)
      chunks.push_back("chunk " + std::to_string(i));
    m_state->m_engine->m_chunks = kMany;
    Take(2, chunks, kMany);
    Run(m_stager->Stage(2, 1));
    m_http->m_read_time = 1ms;
  }

  /// Restarts the target process; the engine keeps its staged chunks.
  void Restart() {
    m_state = std::make_unique<TargetState>(TargetOptions());
    m_state->m_engine = model::EngineProfile();
    m_state->m_engine->m_model = "m";
    m_state->m_engine->m_chunks = static_cast<uint32_t>(kNew.size());
    m_state->m_cache.AddVersion(2, DigestsOf(kNew));
    m_stager = std::make_unique<ChunkStager>(*m_state, *m_engine);
  }

  /// Puts the first `count` chunks of `version` into the cache.
  void Take(uint64_t version,
            const std::vector<std::string>& chunks,
            uint32_t count) {
    m_state->m_cache.Drop(version);
    m_state->m_cache.AddVersion(version, DigestsOf(chunks));
    for (uint32_t chunk = 0; chunk < count; ++chunk)
      CPPUNIT_ASSERT(m_state->m_cache.Put(version, chunk, chunks[chunk]));
  }

  void Run(Awaitable<void> task) {
    boost::asio::io_context io;
    boost::asio::co_spawn(io, std::move(task), boost::asio::detached);
    io.run();
  }

  Awaitable<void> RecordVerification(uint64_t version) {
    m_verified = co_await m_stager->Verify(version);
  }
  bool Verify(uint64_t version) {
    Run(RecordVerification(version));
    return m_verified;
  }

  std::unique_ptr<StagingEngine> m_http;
  std::unique_ptr<platform::EngineClient> m_engine;
  std::unique_ptr<TargetState> m_state;
  std::unique_ptr<ChunkStager> m_stager;
  bool m_verified = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkStagerTest);

}  // namespace
}  // namespace verbenalead::target
