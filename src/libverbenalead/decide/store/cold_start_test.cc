#include "decide/store/cold_start.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;

class ColdStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdStartTest);
  CPPUNIT_TEST(OneEntryReadsWhileOthersWait);
  CPPUNIT_TEST(WaitForDeadEntriesIsBounded);
  CPPUNIT_TEST(ReadsWhenOtherEntriesStayUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers getting no answer for 20 s: 15 entries of a data
  // centre start at once, and each reads the tables over the same link. During
  // the 0.25 s that the first entry needs, no other entry may read.
  void OneEntryReadsWhileOthersWait() {
    size_t readers = 0;
    for (size_t rank = 0; rank < 15; ++rank) {
      ColdStart entry{kStart, std::nullopt, 0};
      RecordRank(entry, rank, kStart + 10ms);
      readers += MayReadStore(entry, kStart + 260ms) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, readers);
  }

  void WaitForDeadEntriesIsBounded() {
    ColdStart entry{kStart, std::nullopt, 0};
    RecordRank(entry, 200, kStart);
    CPPUNIT_ASSERT(!MayReadStore(entry, kStart + 1s));
    CPPUNIT_ASSERT(MayReadStore(entry, kStart + kMaxStartupReadDelay));
    RecordRank(entry, 300, kStart + 1s);
    CPPUNIT_ASSERT(MayReadStore(entry, kStart + kMaxStartupReadDelay));
  }

  void ReadsWhenOtherEntriesStayUnknown() {
    const ColdStart entry{kStart, std::nullopt, 0};
    CPPUNIT_ASSERT(!MayReadStore(entry, kStart + 100ms));
    CPPUNIT_ASSERT(MayReadStore(entry, kStart + kDiscoveryTimeout));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartTest);

}  // namespace
}  // namespace verbenalead::decide
