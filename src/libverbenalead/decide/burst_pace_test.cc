#include "decide/burst_pace.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

class BurstPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BurstPaceTest);
  CPPUNIT_TEST(FewQuestionsDoNotWait);
  CPPUNIT_TEST(ManyQuestionsKeepTheInterval);
  CPPUNIT_TEST_SUITE_END();

 public:
  // No replica is usable for seconds: new weights were declared right after two
  // changes of routes, hosts heard of them 0.9 s later, and the origin went
  // away before they had drawn one copy, which takes 2.1 s.
  void FewQuestionsDoNotWait() {
    BurstPace pace{5, 400ms};
    for (int question = 0; question < 5; ++question) {
      CPPUNIT_ASSERT(TakeTurn(pace, kStart + question * 200ms) == Duration());
    }
  }

  void ManyQuestionsKeepTheInterval() {
    BurstPace pace{5, 400ms};
    int questions = 0;
    for (TimePoint now = kStart; now < kStart + 10s;) {
      ++questions;
      now += std::max<Duration>(TakeTurn(pace, now), 1ms);
    }
    CPPUNIT_ASSERT(questions >= 25);
    CPPUNIT_ASSERT(questions <= 30);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstPaceTest);

}  // namespace
}  // namespace verbenalead::decide
