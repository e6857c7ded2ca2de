#include "decide/limits/rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;

class RateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTest);
  CPPUNIT_TEST(NewestObservationHolds);
  CPPUNIT_TEST(AnswerSentBeforeTheLimitDoesNotEndIt);
  CPPUNIT_TEST(ReportsPassedBackAndForthDoNotStayNew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewestObservationHolds() {
    RateLimit known;
    CPPUNIT_ASSERT(MergeRateLimit(known, {2.3, kStart, true}));
    CPPUNIT_ASSERT(!MergeRateLimit(known, {5.0, kStart - 1s, true}));
    CPPUNIT_ASSERT(known.m_rate == 2.3);
    CPPUNIT_ASSERT(MergeRateLimit(known, {1.0, kStart + 1ms, true}));
    CPPUNIT_ASSERT(MergeRateLimit(known, {std::nullopt, kStart + 1s, true}));
    CPPUNIT_ASSERT(!known.m_rate);
    CPPUNIT_ASSERT(known.m_was_limited);
  }

  // Guards against a limit that is forgotten because an answer to an earlier
  // request arrives after the one that names it.
  void AnswerSentBeforeTheLimitDoesNotEndIt() {
    RateLimit known;
    MergeRateLimit(known, {1.0, kStart, true});
    CPPUNIT_ASSERT(!MergeRateLimit(known, {std::nullopt, kStart - 10ms, true}));
    CPPUNIT_ASSERT(known.m_rate == 1.0);
  }

  // Guards against a limit that outlives its end because two processes report
  // it to each other, each time as a little newer.
  void ReportsPassedBackAndForthDoNotStayNew() {
    RateLimit known;
    MergeRateLimit(known, {1.0, kStart, true});
    for (int round = 1; round <= 100; ++round)
      MergeRateLimit(known, {1.0, known.m_observed_at + 5ms, true});
    CPPUNIT_ASSERT(known.m_observed_at == kStart);
    MergeRateLimit(known, {1.0, kStart + 2s, true});
    CPPUNIT_ASSERT(known.m_observed_at == kStart + 2s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

}  // namespace
}  // namespace verbenalead::decide
