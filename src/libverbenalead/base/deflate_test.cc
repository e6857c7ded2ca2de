#include "base/deflate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>

#include "base/catch_failure.h"

namespace verbenalead {
namespace {

constexpr size_t kMaxBytes = 1 << 20;

std::optional<std::string> TryInflate(std::string_view bytes,
                                      size_t max_bytes = kMaxBytes) {
  auto text = CatchFailure([&] { return Inflate(bytes, max_bytes); });
  if (!text)
    return std::nullopt;
  return *text;
}

class DeflateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeflateTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(CompressesRowsToLessThanAFifth);
  CPPUNIT_TEST(RejectsTruncatedOrCorruptStream);
  CPPUNIT_TEST(RejectsOutputOverLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    const bool passed = rc::check("both ways", [](const std::string& bytes) {
      RC_ASSERT(TryInflate(Deflate(bytes)) == bytes);
    });
    CPPUNIT_ASSERT(passed);
    std::string large;
    for (int i = 0; i < 50000; ++i)
      large += std::to_string(i * 2654435761u);
    CPPUNIT_ASSERT(TryInflate(Deflate(large)) == large);
  }

  void CompressesRowsToLessThanAFifth() {
    std::string rows;
    for (int i = 0; i < 3000; ++i)
      rows += R"({"service":"pool","address":"10.0.0.)" + std::to_string(i) +
              R"(:80","zone":"a","slots":4,"state":"ready"})";
    CPPUNIT_ASSERT(Deflate(rows).size() * 5 < rows.size());
  }

  // Guards against accepting a table that was truncated or corrupted in
  // transit: the receiver would treat a part of it as the complete table.
  void RejectsTruncatedOrCorruptStream() {
    const std::string compressed = Deflate(std::string(5000, 'a') + "b");
    CPPUNIT_ASSERT(!TryInflate(compressed.substr(0, compressed.size() / 2)));
    CPPUNIT_ASSERT(!TryInflate(""));
    const bool passed = rc::check(
        "any bytes", [](const std::string& bytes) { TryInflate(bytes); });
    CPPUNIT_ASSERT(passed);
  }

  void RejectsOutputOverLimit() {
    const std::string small = Deflate(std::string(kMaxBytes, 'a'));
    CPPUNIT_ASSERT(TryInflate(small));
    CPPUNIT_ASSERT(!TryInflate(small, kMaxBytes - 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeflateTest);

}  // namespace
}  // namespace verbenalead
