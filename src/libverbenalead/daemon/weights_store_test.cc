#include "daemon/weights_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/catch_failure.h"
#include "daemon/transfer_messages.h"
#include "model/manifest_builder.h"

namespace verbenalead::daemon {
namespace {

const std::string kBytes = "0123456789";
constexpr uint64_t kChunkSize = 4;

model::Manifest MakeManifest() {
  model::ManifestBuilder builder;
  builder.WeightsDigest(Sha256(kBytes))
      .Size(kBytes.size())
      .ChunkSize(kChunkSize);
  for (size_t offset = 0; offset < kBytes.size(); offset += kChunkSize)
    builder.Chunk(Sha256(kBytes.substr(offset, kChunkSize)));
  return *CatchFailure([&] { return builder.Build(); });
}

class WeightsStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsStoreTest);
  CPPUNIT_TEST(RefusesVersionOverMemoryLimit);
  CPPUNIT_TEST(KeepsOnlyVerifiedChunks);
  CPPUNIT_TEST(ParsesAnnouncementsSplitAtAnyOffset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesVersionOverMemoryLimit() {
    WeightsStore store(kBytes.size() - 1);
    const auto begun =
        CatchFailure([&] { return store.Reserve(MakeManifest(), "{}"); });
    CPPUNIT_ASSERT(!begun);
    CPPUNIT_ASSERT(begun.error().m_code == FailureCode::kRefused);
    CPPUNIT_ASSERT(begun.error().m_reason.find("limit") != std::string::npos);
  }

  void KeepsOnlyVerifiedChunks() {
    WeightsStore store(kBytes.size());
    const Digest digest = Sha256(kBytes);
    CPPUNIT_ASSERT(
        CatchFailure([&] { return store.Reserve(MakeManifest(), "{}"); }));
    const auto wrong =
        CatchFailure([&] { return store.Put(digest, 0, "012X"); });
    CPPUNIT_ASSERT(!wrong && wrong.error().m_code == FailureCode::kCorrupt);
    CPPUNIT_ASSERT(store.Get(digest, 0) == nullptr);
    for (uint32_t chunk : {2, 0, 0}) {
      CPPUNIT_ASSERT(CatchFailure([&] {
        return store.Put(digest, chunk,
                         kBytes.substr(chunk * kChunkSize, kChunkSize));
      }));
    }
    CPPUNIT_ASSERT(store.ArrivalsSince(digest, 0) ==
                   std::vector<uint32_t>({2, 0}));
    CPPUNIT_ASSERT(store.ArrivalsSince(digest, 1) ==
                   std::vector<uint32_t>({0}));
    CPPUNIT_ASSERT(store.ArrivalsSince(digest, 2).empty());
  }

  // A stream of held chunks is parsed to the same result however it is split
  // into pieces.
  void ParsesAnnouncementsSplitAtAnyOffset() {
    std::string body = "\x05";
    body += '\x02';
    AppendNumber(body, 7);
    AppendNumber(body, 300);
    for (size_t size = 1; size <= body.size(); ++size) {
      HeldChunksReader reader(10);
      std::vector<uint32_t> chunks;
      for (size_t offset = 0; offset < body.size(); offset += size) {
        for (uint32_t chunk : reader.Read(body.substr(offset, size)))
          chunks.push_back(chunk);
      }
      CPPUNIT_ASSERT(chunks == std::vector<uint32_t>({0, 2, 9, 7, 300}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsStoreTest);

}  // namespace
}  // namespace verbenalead::daemon
