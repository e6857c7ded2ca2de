#include "decide/store/burst_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

class BurstPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BurstPacerTest);
  CPPUNIT_TEST(BurstIsNotDelayed);
  CPPUNIT_TEST(LongSeriesIsPacedByTheInterval);
  CPPUNIT_TEST(RequestsThatIgnoreTheWaitDontProlongIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against seconds without a usable replica. New weights were declared
  // right after two changes of routes, so that hosts received them 0.9 s later.
  // The origin became unreachable before the hosts had fetched one copy, which
  // takes 2.1 s.
  void BurstIsNotDelayed() {
    BurstPacer pacer{5, 400ms};
    for (int request = 0; request < 5; ++request) {
      CPPUNIT_ASSERT(RecordRequest(pacer, kStart + request * 200ms) ==
                     Duration());
    }
  }

  void LongSeriesIsPacedByTheInterval() {
    BurstPacer pacer{5, 400ms};
    int requests = 0;
    for (TimePoint now = kStart; now < kStart + 10s;) {
      ++requests;
      now += std::max<Duration>(RecordRequest(pacer, now), 1ms);
    }
    CPPUNIT_ASSERT(requests >= 25);
    CPPUNIT_ASSERT(requests <= 30);
  }

  // Guards against changes that stay unread for seconds after an outage: the
  // requests that failed were repeated faster than the pace.
  void RequestsThatIgnoreTheWaitDontProlongIt() {
    BurstPacer pacer{5, 400ms};
    TimePoint now = kStart;
    for (int request = 0; request < 100; ++request) {
      RecordRequest(pacer, now);
      now += 150ms;
    }
    CPPUNIT_ASSERT(RecordRequest(pacer, now) <= 400ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstPacerTest);

}  // namespace
}  // namespace verbenalead::decide
