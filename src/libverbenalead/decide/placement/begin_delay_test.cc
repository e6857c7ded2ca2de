#include "decide/placement/begin_delay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

class BeginDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BeginDelayTest);
  CPPUNIT_TEST(ADelayIsExpectedToGrow);
  CPPUNIT_TEST(ADelayIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that begin on barred weights behind a link that fills
  // up: each takes longer than the one before.
  void ADelayIsExpectedToGrow() {
    BeginDelay delay;
    CPPUNIT_ASSERT(ExpectedBeginDelay(delay, 0ms, kStart) == Duration());
    RecordBeginDelay(delay, 400ms, kStart);
    CPPUNIT_ASSERT(ExpectedBeginDelay(delay, 0ms, kStart) == Duration(800ms));
    CPPUNIT_ASSERT(ExpectedBeginDelay(delay, 700ms, kStart) ==
                   Duration(1400ms));
    // A rejection at once says nothing of the calls behind it.
    RecordBeginDelay(delay, 5ms, kStart + 100ms);
    CPPUNIT_ASSERT(ExpectedBeginDelay(delay, 0ms, kStart + 100ms) ==
                   Duration(800ms));
  }

  void ADelayIsForgotten() {
    BeginDelay delay;
    RecordBeginDelay(delay, 1500ms, kStart);
    CPPUNIT_ASSERT(ExpectedBeginDelay(
                       delay, 0ms, kStart + kBeginDelayLifetime) == Duration());
    RecordBeginDelay(delay, 100ms, kStart + kBeginDelayLifetime);
    CPPUNIT_ASSERT(
        ExpectedBeginDelay(delay, 0ms, kStart + kBeginDelayLifetime) ==
        Duration(200ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BeginDelayTest);

}  // namespace
}  // namespace verbenalead::decide
