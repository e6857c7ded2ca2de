#include "decide/store/store_era.h"

#include <cppunit/extensions/HelperMacros.h>

#include "decide/store/config_lease.h"
#include "decide/store/store_clock.h"

namespace verbenalead::decide {
namespace {

class StoreEraTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTest);
  CPPUNIT_TEST(ProofsRightAfterAReturnDoNotCount);
  CPPUNIT_TEST(AProcessThatStartsLearnsOfTheReturnFromOthers);
  CPPUNIT_TEST(ProofsAreNotDatedByTheClockOfAnotherEra);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls with a removed key: the copy lacks the removal, and
  // the store confirms that nothing is newer.
  void ProofsRightAfterAReturnDoNotCount() {
    StoreEra era;
    CPPUNIT_ASSERT(!RecordEra(era, 1, 100s));
    CPPUNIT_ASSERT(IsSettled(era, 100s));
    CPPUNIT_ASSERT(RecordEra(era, 2, 200s));
    CPPUNIT_ASSERT(!RecordEra(era, 2, 201s));
    CPPUNIT_ASSERT(!RecordEra(era, 1, 201s));
    CPPUNIT_ASSERT(!IsSettled(era, 200s + kWrittenAgainWithin - 1ms));
    CPPUNIT_ASSERT(IsSettled(era, 200s + kWrittenAgainWithin));
    CPPUNIT_ASSERT(TimeUntilSettled(era, 201s) == kWrittenAgainWithin - 1s);
  }

  // Guards against calls with a removed key at an entry that starts right after
  // the return and knows the copy alone.
  void AProcessThatStartsLearnsOfTheReturnFromOthers() {
    StoreEra era;
    CPPUNIT_ASSERT(!RecordEra(era, 8, 200s));
    // It may have been there for any time; nobody has told yet.
    CPPUNIT_ASSERT(!IsSettled(era, 200s));
    CPPUNIT_ASSERT(!IsSettled(era, 201s));
    CPPUNIT_ASSERT(IsSettled(era, 202s));
    RecordEraSince(era, 8, 199s);
    CPPUNIT_ASSERT(!IsSettled(era, 200s));
    // Its first proof was given in the gap; one of before would hold.
    CPPUNIT_ASSERT(IsFromGap(era, 200s));
    CPPUNIT_ASSERT(!IsFromGap(era, 198s));
    CPPUNIT_ASSERT(IsSettled(era, 199s + kWrittenAgainWithin));
    // The earliest observation is the closest to the return.
    RecordEraSince(era, 8, 199500ms);
    CPPUNIT_ASSERT(IsSettled(era, 199s + kWrittenAgainWithin));
    RecordEraSince(era, 9, 300s);
    CPPUNIT_ASSERT(era.m_era == 8);
  }

  // Guards against a lease that lasts too long, since the clock of the store
  // does not go on after its return.
  void ProofsAreNotDatedByTheClockOfAnotherEra() {
    for (const Duration step : {Duration(-90s), Duration(90s)}) {
      StoreClock clock;
      CPPUNIT_ASSERT(AnsweredAt(clock, 100s, {1, 1000s}) == Duration(100s));
      CPPUNIT_ASSERT(!ToLocal(clock, {2, 1001s + step}));
      CPPUNIT_ASSERT(AnsweredAt(clock, 101s, {2, 1001s + step}) ==
                     Duration(101s));
      CPPUNIT_ASSERT(ToLocal(clock, {2, 1002s + step}) == Duration(102s));
      CPPUNIT_ASSERT(!ToLocal(clock, {1, 1002s}));
      // A late answer of the older era is no later than its request.
      CPPUNIT_ASSERT(AnsweredAt(clock, 99s, {1, 999s}) == Duration(99s));
      CPPUNIT_ASSERT(ToLocal(clock, {2, 1002s + step}) == Duration(102s));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTest);

}  // namespace
}  // namespace verbenalead::decide
