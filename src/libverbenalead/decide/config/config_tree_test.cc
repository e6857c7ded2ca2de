#include "decide/config/config_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace verbenalead::decide {
namespace {

std::vector<std::string> Names(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i)
    names.push_back("entry-" + std::to_string(i));
  return RankEntries(names);
}

class ConfigTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTreeTest);
  CPPUNIT_TEST(EveryChainEndsAtAReader);
  CPPUNIT_TEST(ChildrenPerEntryAreBounded);
  CPPUNIT_TEST(OrphanReadRateIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cycle of streams: its entries would keep sending each
  // other outdated changes and receive none from the table.
  void EveryChainEndsAtAReader() {
    for (const size_t count : {1, 2, 3, 4, 8, 128, 630}) {
      const auto ranked = Names(count);
      for (size_t rank = kConfigReaders; rank < count; ++rank) {
        for (uint64_t failures = 0; failures < 5; ++failures) {
          for (size_t stream = 0; stream < kConfigStreams; ++stream) {
            const auto parent =
                ParentOfEntry(ranked, ranked[rank], stream, failures);
            const auto at = std::find(ranked.begin(), ranked.end(), parent);
            CPPUNIT_ASSERT(at - ranked.begin() < static_cast<long>(rank));
          }
        }
      }
    }
  }

  void ChildrenPerEntryAreBounded() {
    const auto ranked = Names(630);
    std::map<std::string, size_t> children;
    for (const std::string& self : ranked)
      ++children[ParentOfEntry(ranked, self, 0, 0)];
    for (int i = 0; i < 1700; ++i)
      ++children[ParentOfTarget(ranked, "target-" + std::to_string(i), 0, 0)];
    for (const auto& [name, count] : children)
      CPPUNIT_ASSERT(count <= kConfigFanOut + 1 + 16);
  }

  void OrphanReadRateIsBounded() {
    for (const int64_t count : {1, 8, 630, 5000}) {
      const double orphans = static_cast<double>(count) /
                             std::chrono::duration<double>(
                                 OrphanReadInterval(static_cast<size_t>(count)))
                                 .count();
      CPPUNIT_ASSERT(orphans <= 31);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTreeTest);

}  // namespace
}  // namespace verbenalead::decide
