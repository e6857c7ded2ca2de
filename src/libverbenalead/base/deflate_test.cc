#include "base/deflate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>

#include "base/catch_failure.h"

namespace verbenalead {
namespace {

constexpr size_t kMost = 1 << 20;

std::optional<std::string> Inflated(std::string_view bytes,
                                    size_t most = kMost) {
  auto text = CatchFailure([&] { return Inflate(bytes, most); });
  if (!text)
    return std::nullopt;
  return *text;
}

class DeflateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeflateTest);
  CPPUNIT_TEST(GivesBackWhatItCompressed);
  CPPUNIT_TEST(RowsBecomeMuchSmaller);
  CPPUNIT_TEST(AStreamThatIsCutOrWrongIsRefused);
  CPPUNIT_TEST(AStreamThatGrowsTooLongIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GivesBackWhatItCompressed() {
    const bool held = rc::check("both ways", [](const std::string& bytes) {
      RC_ASSERT(Inflated(Deflate(bytes)) == bytes);
    });
    CPPUNIT_ASSERT(held);
    std::string large;
    for (int i = 0; i < 50000; ++i)
      large += std::to_string(i * 2654435761u);
    CPPUNIT_ASSERT(Inflated(Deflate(large)) == large);
  }

  void RowsBecomeMuchSmaller() {
    std::string rows;
    for (int i = 0; i < 3000; ++i)
      rows += R"({"service":"pool","address":"10.0.0.)" + std::to_string(i) +
              R"(:80","zone":"a","slots":4,"state":"ready"})";
    CPPUNIT_ASSERT(Deflate(rows).size() * 5 < rows.size());
  }

  // A neighbour would take half a table for a whole one: the bytes were cut or
  // spoilt on the way.
  void AStreamThatIsCutOrWrongIsRefused() {
    const std::string whole = Deflate(std::string(5000, 'a') + "b");
    CPPUNIT_ASSERT(!Inflated(whole.substr(0, whole.size() / 2)));
    CPPUNIT_ASSERT(!Inflated(""));
    const bool held = rc::check(
        "any bytes", [](const std::string& bytes) { Inflated(bytes); });
    CPPUNIT_ASSERT(held);
  }

  void AStreamThatGrowsTooLongIsRefused() {
    const std::string small = Deflate(std::string(kMost, 'a'));
    CPPUNIT_ASSERT(Inflated(small));
    CPPUNIT_ASSERT(!Inflated(small, kMost - 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeflateTest);

}  // namespace
}  // namespace verbenalead
