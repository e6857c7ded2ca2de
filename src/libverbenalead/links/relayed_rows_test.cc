#include "links/relayed_rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/catch_failure.h"
#include "base/deflate.h"

namespace verbenalead::links {
namespace {

class RelayedRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedRowsTest);
  CPPUNIT_TEST(PreservesRowsOfArbitraryBytes);
  CPPUNIT_TEST(CarriesRemovedRows);
  CPPUNIT_TEST(CarriesTimeSinceStoreWasRegained);
  CPPUNIT_TEST(CarriesRowAges);
  CPPUNIT_TEST(RejectsMalformedRowLists);
  CPPUNIT_TEST(MalformedRowHidesNoOther);
  CPPUNIT_TEST(CompressesReplicaTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry that gets no replicas at all: one row that another
  // program wrote with bytes that aren't text made the whole list unreadable.
  void PreservesRowsOfArbitraryBytes() {
    const std::map<std::string, platform::Row> rows = {
        {"a", {"a", std::string("\xff\x00\xc3(", 4), {0, 7}, false}},
        {"b", {"b", "{\"service\":\"pool\"}", {0, 9}, false}}};
    const RelayedRows relayed =
        Decode(EncodeRows(rows, {3, 12}, {}), {5s, 0s, std::nullopt, 20ms});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, relayed.m_rows.m_rows.size());
    CPPUNIT_ASSERT(relayed.m_rows.m_rows[0] == rows.at("a"));
    CPPUNIT_ASSERT(relayed.m_rows.m_rows[1] == rows.at("b"));
    CPPUNIT_ASSERT(relayed.m_rows.m_revision == model::Revision({3, 12}));
    CPPUNIT_ASSERT(relayed.m_rows.m_store_time == Duration(5s));
    CPPUNIT_ASSERT(!relayed.m_store_regained_ago);
  }

  // Guards against an evacuation that never ends at entries that have another
  // entry read for them.
  void CarriesRemovedRows() {
    const platform::Row removed = {"evacuate/a", "", {3, 7}, true};
    const std::string text = EncodeRows({{"evacuate/a", removed}}, {3, 7}, {});
    CPPUNIT_ASSERT(Decode(text, {}).m_rows.m_rows.at(0) == removed);
    const std::string present =
        EncodeRows({{"x", {"x", "{}", {3, 7}, false}}}, {3, 7}, {});
    CPPUNIT_ASSERT(present.find("deleted") == std::string::npos);
  }

  void CarriesTimeSinceStoreWasRegained() {
    const RelayMetadata facts = {5s, 7s, 1500ms, 20ms};
    CPPUNIT_ASSERT(DecodeRelayMetadata(EncodeRelayMetadata(facts)) == facts);
    const RelayedRows relayed = Decode(EncodeRows({}, {0, 1}, {}), facts);
    CPPUNIT_ASSERT(relayed.m_store_regained_ago == Duration(1500ms));
    CPPUNIT_ASSERT(DecodeRelayMetadata({{"proof-ms", "x"}}) == RelayMetadata());
  }

  // Guards against calls that start on old weights after the time limit for new
  // ones. This happens when an entry gets a declaration of weights 3 s late
  // from another entry and measures the limit from then. So the age of the
  // declaration is sent with it.
  void CarriesRowAges() {
    const std::map<std::string, platform::Row> rows = {
        {"version/m", {"version/m", "{}", {0, 7}, false}},
        {"x", {"x", "", {0, 1}, false}}};
    const std::string text = EncodeRows(rows, {0, 7}, {{"version/m", 100s}});
    const RelayedRows relayed =
        Decode(text, {102s, 103s, std::nullopt, std::nullopt});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, relayed.m_max_ages.size());
    CPPUNIT_ASSERT(relayed.m_max_ages.at("version/m") == Duration(3s));
    CPPUNIT_ASSERT(Decode(text, {102s, 0s, std::nullopt, std::nullopt})
                       .m_max_ages.empty());
  }

  // Guards against calls refused for seconds after all processes start at once.
  // Each process then fetches the rows of 3,000 replicas, which fills the links
  // of the entries that serve them unless the rows compress well.
  void CompressesReplicaTable() {
    std::map<std::string, platform::Row> rows;
    size_t bytes = 0;
    for (uint64_t i = 0; i < 3000; ++i) {
      const std::string id = "i-" + std::to_string(i * 2654435761u % 1000003);
      rows[id] = {id,
                  R"({"service":"pool","address":"10.)" + std::to_string(i) +
                      R"(.0.1:80","zone":"a","slots":4,"state":"ready"})",
                  {0, i},
                  false};
      bytes += rows[id].m_value.size();
    }
    const std::string text = EncodeRows(rows, {0, 3000}, {});
    CPPUNIT_ASSERT_LESSEQUAL(bytes / 4, Deflate(text).size());
    CPPUNIT_ASSERT_EQUAL(rows.size(), Decode(text, {}).m_rows.m_rows.size());
  }

  void RejectsMalformedRowLists() {
    for (const char* text :
         {"", "[]", "{\"revision\":1}", "{\"revision\":1,\"rows\":{}}",
          "{\"revision\":\"x\",\"rows\":[]}"}) {
      CPPUNIT_ASSERT(!CatchFailure([&] { return DecodeRows(text, {}); }));
    }
  }

  // Guards against a list of replicas that is lost for one row of another
  // writer.
  void MalformedRowHidesNoOther() {
    for (const std::string row :
         {"1", "{\"key\":2}", "{\"key\":\"a\",\"value\":\"!\",\"revision\":1}",
          "{\"key\":\"a\",\"value\":\"\",\"revision\":1,"
          "\"seen_ms\":\"x\"}"}) {
      const std::string good = "{\"key\":\"b\",\"text\":\"v\",\"revision\":1}";
      const RelayedRows relayed =
          Decode("{\"revision\":1,\"rows\":[" + row + "," + good + "]}", {});
      CPPUNIT_ASSERT_EQUAL(size_t{1}, relayed.m_rows.m_rows.size());
      CPPUNIT_ASSERT_EQUAL(std::string("b"), relayed.m_rows.m_rows[0].m_key);
      CPPUNIT_ASSERT(relayed.m_max_ages.empty());
    }
  }

 private:
  static RelayedRows Decode(const std::string& text,
                            const RelayMetadata& facts) {
    auto relayed = CatchFailure([&] { return DecodeRows(text, facts); });
    CPPUNIT_ASSERT(relayed.has_value());
    return std::move(*relayed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedRowsTest);

}  // namespace
}  // namespace verbenalead::links
