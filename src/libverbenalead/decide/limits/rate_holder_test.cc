#include "decide/limits/rate_holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace verbenalead::decide {
namespace {

std::vector<SummaryPeer> Entries() {
  return {{"e1", "a", true, true},
          {"e2", "a", true, true},
          {"e3", "b", true, true},
          {"e4", "b", true, true}};
}

class RateHolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateHolderTest);
  CPPUNIT_TEST(IsAnEntryOfTheReplicasDataCentre);
  CPPUNIT_TEST(DoesNotDependOnTheOrderOfEntries);
  CPPUNIT_TEST(DeadAndStoppingEntriesHoldNothing);
  CPPUNIT_TEST(ReplicasHaveDifferentHolders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsAnEntryOfTheReplicasDataCentre() {
    const auto holder = RateHolder("i-1", "b", Entries());
    CPPUNIT_ASSERT(holder == "e3" || holder == "e4");
    // A data centre without entries.
    CPPUNIT_ASSERT(RateHolder("i-1", "c", Entries()).has_value());
    CPPUNIT_ASSERT(!RateHolder("i-1", "a", {}).has_value());
  }

  void DoesNotDependOnTheOrderOfEntries() {
    std::vector<SummaryPeer> reversed = Entries();
    std::reverse(reversed.begin(), reversed.end());
    for (const char* replica : {"i-1", "i-2", "i-3", "i-4"}) {
      CPPUNIT_ASSERT(RateHolder(replica, "a", Entries()) ==
                     RateHolder(replica, "a", reversed));
    }
  }

  void DeadAndStoppingEntriesHoldNothing() {
    std::vector<SummaryPeer> entries = Entries();
    entries[0].m_recently_seen = false;
    entries[2].m_ready = false;
    for (const char* replica : {"i-1", "i-2", "i-3", "i-4"}) {
      CPPUNIT_ASSERT(RateHolder(replica, "a", entries) == "e2");
      CPPUNIT_ASSERT(RateHolder(replica, "b", entries) == "e4");
    }
  }

  void ReplicasHaveDifferentHolders() {
    std::set<std::string> holders;
    for (int replica = 0; replica < 32; ++replica)
      holders.insert(
          RateHolder("i-" + std::to_string(replica), "a", Entries()).value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, holders.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateHolderTest);

}  // namespace
}  // namespace verbenalead::decide
