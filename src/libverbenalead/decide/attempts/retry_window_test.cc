#include "decide/attempts/retry_window.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint32_t kEntries = 4;

/// Takes retries until the limit denies one; returns how many.
int TakeAll(RetryWindow& window,
            const RetryAllowance& allowance,
            TimePoint now,
            uint32_t entries = kEntries) {
  int taken = 0;
  while (TryTakeRetry(window, allowance, entries, now).m_allowed) {
    SettleRetry(window, allowance, now);
    ++taken;
  }
  return taken;
}

/// Judges arrivals at the replicas as the limit is meant: in any window, the
/// retries of all entries stay within the ratio of the calls and the slack. The
/// calls are those of that window, of the one before it or of the one half a
/// window before it, whichever has most.
class ArrivalJudge {
 public:
  explicit ArrivalJudge(const RetryAllowance& allowance)
      : m_allowance(allowance) {}

  void AddCall(TimePoint at) { m_calls.push_back(at); }
  void AddRetry(TimePoint at) { m_retries.push_back(at); }

  bool IsKept() {
    std::sort(m_calls.begin(), m_calls.end());
    std::sort(m_retries.begin(), m_retries.end());
    return std::all_of(m_retries.begin(), m_retries.end(), [this](TimePoint t) {
      const Duration half = m_allowance.m_window / 2;
      const double calls =
          std::max({Within(m_calls, t), Within(m_calls, t - half),
                    Within(m_calls, t - m_allowance.m_window)});
      return Within(m_retries, t) <=
             m_allowance.m_ratio * calls + m_allowance.m_slack;
    });
  }

 private:
  double Within(const std::vector<TimePoint>& times, TimePoint begin) const {
    return static_cast<double>(
        std::lower_bound(times.begin(), times.end(),
                         begin + m_allowance.m_window) -
        std::lower_bound(times.begin(), times.end(), begin));
  }

  const RetryAllowance m_allowance;
  std::vector<TimePoint> m_calls;
  std::vector<TimePoint> m_retries;
};

class RetryWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryWindowTest);
  CPPUNIT_TEST(HalfOfTheShareOfSlackIsAvailableAtOnce);
  CPPUNIT_TEST(WholeShareOfSlackIsAvailableWithinAWindow);
  CPPUNIT_TEST(StartedProcessHasNoRetriesYet);
  CPPUNIT_TEST(RetriesExpireAfterWindow);
  CPPUNIT_TEST(RatioIsUsedInSteadyTraffic);
  CPPUNIT_TEST(AllEntriesTogetherStayWithinAllowance);
  CPPUNIT_TEST(RestartsAndMovedCallersStayWithinAllowance);
  CPPUNIT_TEST(PendingRetryCountsInEachWindow);
  CPPUNIT_TEST(ReturnedRetryIsAvailableAgain);
  CPPUNIT_TEST(LateArrivalsStayWithinAllowance);
  CPPUNIT_TEST(FleetsOfAnySizeStayWithinAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HalfOfTheShareOfSlackIsAvailableAtOnce() {
    RetryWindow window;
    CPPUNIT_ASSERT_EQUAL(11, TakeAll(window, {0.2, 100, 10s}, kStart));
  }

  void WholeShareOfSlackIsAvailableWithinAWindow() {
    RetryWindow window;
    int taken = 0;
    for (Duration passed = 0s; passed < 10s; passed += 100ms)
      taken += TakeAll(window, {0.2, 100, 10s}, kStart + passed);
    CPPUNIT_ASSERT(taken >= 20);
    CPPUNIT_ASSERT(taken <= 25);
  }

  void StartedProcessHasNoRetriesYet() {
    RetryWindow window;
    window.m_started_at = kStart;
    CPPUNIT_ASSERT_EQUAL(0, TakeAll(window, {0.2, 100, 10s}, kStart));
    CPPUNIT_ASSERT(TakeAll(window, {0.2, 100, 10s}, kStart + 2s) > 0);
  }

  void RetriesExpireAfterWindow() {
    const RetryAllowance allowance{0.2, 100, 10s};
    RetryWindow window;
    for (Duration passed = 0s; passed < 9s; passed += 100ms)
      TakeAll(window, allowance, kStart + passed);
    const int in_first_window = TakeAll(window, allowance, kStart + 9s);
    CPPUNIT_ASSERT(in_first_window <= 2);
    CPPUNIT_ASSERT_EQUAL(11, TakeAll(window, allowance, kStart + 21s));
  }

  // With 40 calls a second, and each failing, the entry sends most of what the
  // ratio allows.
  void RatioIsUsedInSteadyTraffic() {
    const RetryAllowance allowance{0.2, 0, 10s};
    RetryWindow window;
    int taken = 0;
    for (Duration passed = 0s; passed < 60s; passed += 25ms) {
      CountCall(window, allowance, kStart + passed);
      const bool taken_now =
          TryTakeRetry(window, allowance, kEntries, kStart + passed).m_allowed;
      if (taken_now)
        SettleRetry(window, allowance, kStart + passed);
      if (taken_now && passed >= 20s)
        ++taken;
    }
    constexpr int kAllowed = 40 * 40 / 5;
    CPPUNIT_ASSERT(taken <= kAllowed);
    CPPUNIT_ASSERT(taken >= kAllowed * 8 / 10);
  }

  // Guards against a retry storm after the failure of replicas: every entry
  // sends as many retries as it may, at random times.
  void AllEntriesTogetherStayWithinAllowance() {
    const bool passed = rc::check("allowance", [] {
      const RetryAllowance allowance{0.2, 40, 10s};
      std::vector<RetryWindow> entries(kEntries);
      ArrivalJudge judge(allowance);
      TimePoint now = kStart;
      const auto steps =
          *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
      for (int step : steps) {
        now += std::chrono::milliseconds(step * 3);
        RetryWindow& window = entries[static_cast<size_t>(step) % kEntries];
        CountCall(window, allowance, now);
        judge.AddCall(now);
        for (int taken = TakeAll(window, allowance, now); taken > 0; --taken)
          judge.AddRetry(now);
      }
      RC_ASSERT(judge.IsKept());
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a limit that ends with the process: entries are killed in
  // series, one by one or all together, and their callers move to the others.
  void RestartsAndMovedCallersStayWithinAllowance() {
    const bool passed = rc::check("restarts", [] {
      const RetryAllowance allowance{0.2, 40, 10s};
      std::vector<RetryWindow> entries(kEntries);
      ArrivalJudge judge(allowance);
      TimePoint now = kStart;
      size_t first = 0;
      size_t count = kEntries;
      const auto steps =
          *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 1000));
      for (int step : steps) {
        now += std::chrono::milliseconds(step % 100);
        // Callers use `count` of the entries, from `first` on.
        if (step < 10) {
          first = static_cast<size_t>(step) % kEntries;
          count = 1 + static_cast<size_t>(step) / 2 % kEntries;
        }
        const size_t used =
            (first + static_cast<size_t>(step) % count) % kEntries;
        if (step >= 10 && step < 20)
          entries[used] = StartedAt(now);
        if (step == 20)
          std::fill(entries.begin(), entries.end(), StartedAt(now));
        CountCall(entries[used], allowance, now);
        judge.AddCall(now);
        // In most steps replicas answer, and no retry is needed.
        int taken = step % 7 == 0 ? TakeAll(entries[used], allowance, now) : 0;
        for (; taken > 0; --taken)
          judge.AddRetry(now);
      }
      RC_ASSERT(judge.IsKept());
    });
    CPPUNIT_ASSERT(passed);
  }

  void PendingRetryCountsInEachWindow() {
    const RetryAllowance allowance{0.2, 100, 10s};
    RetryWindow window;
    while (TryTakeRetry(window, allowance, kEntries, kStart).m_allowed) {
    }
    const RetryDecision later =
        TryTakeRetry(window, allowance, kEntries, kStart + 60s);
    CPPUNIT_ASSERT(!later.m_allowed);
    CPPUNIT_ASSERT_EQUAL(uint32_t{11}, later.m_retries);
    SettleRetry(window, allowance, kStart + 60s);
    CPPUNIT_ASSERT_EQUAL(uint32_t{10}, window.m_pending);
    CPPUNIT_ASSERT(
        !TryTakeRetry(window, allowance, kEntries, kStart + 60s).m_allowed);
  }

  void ReturnedRetryIsAvailableAgain() {
    const RetryAllowance allowance{0.2, 100, 10s};
    RetryWindow window;
    while (TryTakeRetry(window, allowance, kEntries, kStart).m_allowed) {
    }
    ReturnRetry(window);
    CPPUNIT_ASSERT(TryTakeRetry(window, allowance, kEntries, kStart).m_allowed);
    CPPUNIT_ASSERT(
        !TryTakeRetry(window, allowance, kEntries, kStart).m_allowed);
  }

  // Guards against retries that count when they are decided: a link holds them
  // for seconds, or they wait for a slot, and arrive together with later ones.
  void LateArrivalsStayWithinAllowance() {
    const bool passed = rc::check("late arrivals", [] {
      const RetryAllowance allowance{0.2, 40, 10s};
      std::vector<RetryWindow> entries(kEntries);
      ArrivalJudge judge(allowance);
      std::vector<std::pair<TimePoint, size_t>> on_the_way;
      TimePoint now = kStart;
      TimePoint released = kStart;
      const auto steps =
          *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 1000));
      for (int step : steps) {
        now += std::chrono::milliseconds(step % 100);
        // A link holds everything for up to 12 s.
        if (step < 10 && now >= released)
          released = now + std::chrono::milliseconds(1200 * (step + 1));
        std::erase_if(on_the_way, [&](const auto& retry) {
          if (now < std::max(retry.first, released))
            return false;
          judge.AddRetry(now);
          SettleRetry(entries[retry.second], allowance, now);
          return true;
        });
        const size_t entry = static_cast<size_t>(step) % kEntries;
        CountCall(entries[entry], allowance, now);
        judge.AddCall(now);
        while (step % 7 == 0 &&
               TryTakeRetry(entries[entry], allowance, kEntries, now).m_allowed)
          on_the_way.emplace_back(now + std::chrono::milliseconds(step), entry);
      }
      RC_ASSERT(judge.IsKept());
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a limit that holds for few entries alone: some entries are
  // added, others restart, and callers move to a part of them.
  void FleetsOfAnySizeStayWithinAllowance() {
    for (const uint32_t entries : {3, 8, 44, 300}) {
      size_t retries = 0;
      for (uint32_t seed = 1; seed <= 5; ++seed)
        retries += CheckFleet(entries, seed);
      CPPUNIT_ASSERT(retries > 0);
    }
  }

 private:
  /// Returns how many retries were sent in 40 s with five calls a second and
  /// entry.
  static size_t CheckFleet(uint32_t entries, uint32_t seed) {
    constexpr uint32_t kCallsPerEntry = 200;
    const Duration gap = Duration(200ms) / entries;
    const RetryAllowance allowance{0.2, 40, 10s};
    std::mt19937 random(seed);
    std::vector<RetryWindow> windows(entries);
    // Entries of the second half are added later.
    for (size_t i = entries / 2; i < entries; ++i)
      windows[i] = StartedAt(kStart + std::chrono::seconds(random() % 30));
    ArrivalJudge judge(allowance);
    TimePoint now = kStart;
    size_t first = 0;
    size_t count = entries / 2;
    size_t retries = 0;
    for (uint32_t call = 0; call < kCallsPerEntry * entries; ++call) {
      now += gap;
      // About every second.
      if (random() % (5 * entries) == 0) {
        first = random() % entries;
        count = 1 + random() % entries;
        windows[random() % entries] = StartedAt(now);
      }
      RetryWindow& window = windows[(first + random() % count) % entries];
      if (window.m_started_at > now)
        continue;
      CountCall(window, allowance, now);
      judge.AddCall(now);
      // Replicas fail for half of the time.
      const bool failing = (now - kStart) / 5s % 2 == 1;
      int taken = failing ? TakeAll(window, allowance, now, entries) : 0;
      for (; taken > 0; --taken, ++retries)
        judge.AddRetry(now);
    }
    CPPUNIT_ASSERT(judge.IsKept());
    return retries;
  }

  static RetryWindow StartedAt(TimePoint now) {
    RetryWindow window;
    window.m_started_at = now;
    return window;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryWindowTest);

}  // namespace
}  // namespace verbenalead::decide
