#include "model/manifest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"
#include "model/manifest_builder.h"

namespace verbenalead::model {
namespace {

AsyncResult<Manifest> Parse(const std::string& text) {
  return CatchFailure([&] { return ParseManifest(text); });
}

class ManifestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(RejectsWrongChunkCount);
  CPPUNIT_TEST(RejectsTruncatedDocument);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    CPPUNIT_ASSERT(rc::check("round trip", [] {
      const auto size = *rc::gen::inRange<uint64_t>(1, 5000);
      const auto chunk = *rc::gen::inRange<uint64_t>(1, 600);
      ManifestBuilder builder;
      builder.WeightsDigest(Sha256("w")).Size(size).ChunkSize(chunk);
      uint64_t sum = 0;
      for (uint64_t i = 0; i * chunk < size; ++i)
        builder.Chunk(Sha256(std::to_string(i)));
      const auto built = CatchFailure([&] { return builder.Build(); });
      RC_ASSERT(built.has_value());
      for (uint32_t i = 0; i < built->chunk_count(); ++i)
        sum += built->ChunkLength(i);
      RC_ASSERT(sum == size);
      const auto parsed = Parse(ToJson(*built));
      RC_ASSERT(parsed.has_value() && *parsed == *built);
    }));
  }

  void RejectsWrongChunkCount() {
    ManifestBuilder builder;
    builder.WeightsDigest(Sha256("w")).Size(10).ChunkSize(5).Chunk(Sha256("a"));
    CPPUNIT_ASSERT(!CatchFailure([&] { return builder.Build(); }));
    builder.Chunk(Sha256("b"));
    CPPUNIT_ASSERT(CatchFailure([&] { return builder.Build(); }).has_value());
    builder.Chunk(Sha256("c"));
    CPPUNIT_ASSERT(!CatchFailure([&] { return builder.Build(); }));
  }

  // Guards against accepting a manifest truncated in transit as a shorter one.
  void RejectsTruncatedDocument() {
    ManifestBuilder builder;
    builder.WeightsDigest(Sha256("w")).Size(10).ChunkSize(5);
    builder.Chunk(Sha256("a")).Chunk(Sha256("b"));
    const std::string text =
        ToJson(*CatchFailure([&] { return builder.Build(); }));
    for (size_t length = 0; length < text.size(); ++length)
      CPPUNIT_ASSERT(!Parse(text.substr(0, length)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);

}  // namespace
}  // namespace verbenalead::model
