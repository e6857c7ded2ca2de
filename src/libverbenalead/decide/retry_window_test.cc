#include "decide/retry_window.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint32_t kEntries = 4;

class RetryWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryWindowTest);
  CPPUNIT_TEST(ShareOfSlackIsAvailableAtStart);
  CPPUNIT_TEST(RetriesExpireAfterWindow);
  CPPUNIT_TEST(AllEntriesTogetherStayWithinAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShareOfSlackIsAvailableAtStart() {
    const RetryAllowance allowance{0.2, 100, 10s};
    RetryWindow window;
    int granted = 0;
    while (TryTakeRetry(window, allowance, kEntries, kStart).m_allowed)
      ++granted;
    CPPUNIT_ASSERT_EQUAL(20, granted);
  }

  void RetriesExpireAfterWindow() {
    const RetryAllowance allowance{0.2, 100, 10s};
    RetryWindow window;
    while (TryTakeRetry(window, allowance, kEntries, kStart).m_allowed) {
    }
    CPPUNIT_ASSERT(
        !TryTakeRetry(window, allowance, kEntries, kStart + 9s).m_allowed);
    CPPUNIT_ASSERT(
        TryTakeRetry(window, allowance, kEntries, kStart + 12s).m_allowed);
  }

  // Guards against a retry storm after the failure of replicas: every entry
  // sends as many retries as it may, at random times. In any interval of the
  // length of the window, the retries of all entries must not exceed the ratio
  // of their calls plus the slack.
  void AllEntriesTogetherStayWithinAllowance() {
    const bool passed = rc::check("allowance", [] {
      const RetryAllowance allowance{0.2, 40, 10s};
      std::vector<RetryWindow> entries(kEntries);
      std::vector<TimePoint> calls;
      std::vector<TimePoint> retries;
      TimePoint now = kStart;
      const auto steps =
          *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
      for (int step : steps) {
        now += std::chrono::milliseconds(step * 3);
        RetryWindow& window = entries[static_cast<size_t>(step) % kEntries];
        CountCall(window, allowance, now);
        calls.push_back(now);
        while (TryTakeRetry(window, allowance, kEntries, now).m_allowed)
          retries.push_back(now);
      }
      const auto within = [&](const std::vector<TimePoint>& times,
                              TimePoint end) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint time) {
          return time > end - allowance.m_window && time <= end;
        });
      };
      for (TimePoint end : retries) {
        RC_ASSERT(static_cast<double>(within(retries, end)) <=
                  allowance.m_ratio * static_cast<double>(within(calls, end)) +
                      allowance.m_slack);
      }
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryWindowTest);

}  // namespace
}  // namespace verbenalead::decide
