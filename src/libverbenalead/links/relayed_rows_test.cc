#include "links/relayed_rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/catch_failure.h"

namespace verbenalead::links {
namespace {

class RelayedRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedRowsTest);
  CPPUNIT_TEST(KeepsRowsOfAnyBytes);
  CPPUNIT_TEST(TellsWhenTheStoreWasRegained);
  CPPUNIT_TEST(RefusesWhatIsNoListOfRows);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A neighbour would learn of no replica at all: another program left a row of
  // bytes that are no text in the table, and a list with it couldn't be read.
  void KeepsRowsOfAnyBytes() {
    const std::map<std::string, platform::Row> rows = {
        {"a", {"a", std::string("\xff\x00\xc3(", 4), 7, false}},
        {"b", {"b", "{\"service\":\"pool\"}", 9, false}}};
    const RelayedRows relayed = Decode(EncodeRows(rows, 12, 5s, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, relayed.m_rows.m_rows.size());
    CPPUNIT_ASSERT(relayed.m_rows.m_rows[0] == rows.at("a"));
    CPPUNIT_ASSERT(relayed.m_rows.m_rows[1] == rows.at("b"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, relayed.m_rows.m_revision);
    CPPUNIT_ASSERT(relayed.m_rows.m_store_time == Duration(5s));
    CPPUNIT_ASSERT(!relayed.m_regained_ago);
  }

  void TellsWhenTheStoreWasRegained() {
    const RelayedRows relayed = Decode(EncodeRows({}, 1, 0s, 1500ms));
    CPPUNIT_ASSERT(relayed.m_regained_ago == Duration(1500ms));
  }

  void RefusesWhatIsNoListOfRows() {
    for (const char* text :
         {"", "[]", "{\"revision\":1,\"store_ms\":1}",
          "{\"revision\":1,\"store_ms\":1,\"rows\":[1]}",
          "{\"revision\":1,\"store_ms\":1,\"rows\":[{\"key\":\"a\",\"value\":"
          "\"!\",\"revision\":1}]}",
          "{\"revision\":\"x\",\"store_ms\":1,\"rows\":[]}"}) {
      CPPUNIT_ASSERT(!CatchFailure([&] { return DecodeRows(text); }));
    }
  }

 private:
  static RelayedRows Decode(const std::string& text) {
    auto relayed = CatchFailure([&] { return DecodeRows(text); });
    CPPUNIT_ASSERT(relayed.has_value());
    return std::move(*relayed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedRowsTest);

}  // namespace
}  // namespace verbenalead::links
