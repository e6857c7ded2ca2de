#include "base/loop_lag.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead {
namespace {

class LoopLagTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopLagTest);
  CPPUNIT_TEST(WorstLagExpires);
  CPPUNIT_TEST(EarlyTimerCountsAsNoLag);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WorstLagExpires() {
    const TimePoint start{100s};
    LoopLag lag;
    RecordLag(lag, 300ms, start);
    RecordLag(lag, 2ms, start + 1s);
    CPPUNIT_ASSERT(WorstLag(lag, start + 1s) == Duration(300ms));
    CPPUNIT_ASSERT(WorstLag(lag, start + kLagRetention) == Duration());
    RecordLag(lag, 2ms, start + kLagRetention);
    CPPUNIT_ASSERT(WorstLag(lag, start + kLagRetention) == Duration(2ms));
  }

  void EarlyTimerCountsAsNoLag() {
    LoopLag lag;
    RecordLag(lag, -1ms, TimePoint{100s});
    CPPUNIT_ASSERT(WorstLag(lag, TimePoint{100s}) == Duration());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopLagTest);

}  // namespace
}  // namespace verbenalead
