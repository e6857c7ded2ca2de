#include "decide/store/earliest_write.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

class EarliestWriteTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarliestWriteTimeTest);
  CPPUNIT_TEST(OpenQueryDatesTheRow);
  CPPUNIT_TEST(TimeWithoutQueryAddsToTheRowsAge);
  CPPUNIT_TEST(RowIsYoungerThanTheLastProof);
  CPPUNIT_TEST(OutageDoesNotAddToTheRowsAge);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpenQueryDatesTheRow() {
    CPPUNIT_ASSERT(EarliestWriteTime(10s, 11s, Duration(10s)) == Duration(11s));
    CPPUNIT_ASSERT(EarliestWriteTime(10s, 11s, std::nullopt) == Duration(11s));
  }

  // Guards against calls that begin on older weights after the deadline of a
  // declaration. A large configuration took a second to transfer, and new
  // weights were declared meanwhile. The next query returned them, and their
  // deadline was counted from its answer.
  void TimeWithoutQueryAddsToTheRowsAge() {
    const Duration proved = 10s;
    const Duration requested_at = 11s;
    CPPUNIT_ASSERT(EarliestWriteTime(requested_at, 11005ms, proved) ==
                   Duration(10005ms));
  }

  void RowIsYoungerThanTheLastProof() {
    CPPUNIT_ASSERT(EarliestWriteTime(12s, 10500ms, Duration(10s)) ==
                   Duration(10s));
    // The store confirmed to another entry, while the query was open, that
    // there was nothing newer.
    CPPUNIT_ASSERT(EarliestWriteTime(10s, 12s, Duration(11s)) == Duration(12s));
  }

  // Guards against five seconds without a usable replica. The store was
  // unavailable for eight seconds. The weights that were declared meanwhile
  // forbade the older ones as soon as entries read the declaration, when no
  // host had the new weights yet.
  void OutageDoesNotAddToTheRowsAge() {
    CPPUNIT_ASSERT(EarliestWriteTime(18s, 18005ms, Duration(10s)) ==
                   Duration(18005ms));
    CPPUNIT_ASSERT(EarliestWriteTime(13s, 13005ms, Duration(10s)) ==
                   Duration(10005ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarliestWriteTimeTest);

}  // namespace
}  // namespace verbenalead::decide
