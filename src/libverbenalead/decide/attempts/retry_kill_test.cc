#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "decide/attempts/retry_window.h"

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
const RetryAllowance kAllowance{0.2, 40, 10s};
constexpr uint32_t kEntries = 3;
constexpr uint32_t kSeeds = 2000;

using Times = std::vector<TimePoint>;

struct SentRetry {
  TimePoint m_arrival;
  size_t m_entry;
};

double Within(const Times& times, TimePoint begin) {
  return static_cast<double>(
      std::lower_bound(times.begin(), times.end(),
                       begin + kAllowance.m_window) -
      std::lower_bound(times.begin(), times.end(), begin));
}

/// In any window, retries that arrive stay within the ratio of the calls of
/// that window, of the one before it or of the one half a window before it, and
/// the slack.
bool IsKept(const Times& calls, const Times& retries) {
  return std::all_of(retries.begin(), retries.end(), [&](TimePoint t) {
    const double most =
        std::max({Within(calls, t), Within(calls, t - kAllowance.m_window / 2),
                  Within(calls, t - kAllowance.m_window)});
    return Within(retries, t) <= kAllowance.m_ratio * most + kAllowance.m_slack;
  });
}

/// Five calls a second and entry for 40 s. Links hold what was sent for up to
/// 12 s, entries are killed, and replicas fail for half of the time.
bool IsKeptWith(uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<RetryWindow> windows(kEntries);
  std::vector<SentRetry> sent;
  Times calls;
  Times retries;
  TimePoint released = kStart;
  TimePoint now = kStart;
  for (uint32_t call = 0; call < 200 * kEntries; ++call) {
    now += Duration(200ms) / kEntries;
    if (random() % (5 * kEntries) == 0) {
      // A process that is killed can't take back what it has sent, and the next
      // one doesn't know of it.
      const size_t killed = random() % kEntries;
      windows[killed] = RetryWindow();
      windows[killed].m_started_at = now;
      for (SentRetry& retry : sent)
        retry.m_entry = retry.m_entry == killed ? kEntries : retry.m_entry;
    }
    if (random() % (25 * kEntries) == 0)
      released = now + std::chrono::milliseconds(random() % 12000);
    std::erase_if(sent, [&](const SentRetry& retry) {
      if (now < std::max(retry.m_arrival, released))
        return false;
      retries.push_back(now);
      if (retry.m_entry < kEntries)
        SettleRetry(windows[retry.m_entry], kAllowance, now);
      return true;
    });
    const size_t entry = random() % kEntries;
    CountCall(windows[entry], kAllowance, now);
    calls.push_back(now);
    const bool failing = (now - kStart) / 5s % 2 == 1;
    while (failing &&
           TryTakeRetry(windows[entry], kAllowance, kEntries, now).m_allowed)
      sent.push_back({now + std::chrono::milliseconds(random() % 1000), entry});
  }
  return IsKept(calls, retries);
}

class RetryKillTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryKillTest);
  CPPUNIT_TEST(HeldRetriesOfKilledEntriesStayWithinAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that a link delivers after their entry was killed.
  void HeldRetriesOfKilledEntriesStayWithinAllowance() {
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), IsKeptWith(seed));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryKillTest);

}  // namespace
}  // namespace verbenalead::decide
