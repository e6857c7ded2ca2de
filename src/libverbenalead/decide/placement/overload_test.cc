#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "decide/placement/fake_fleet.h"

namespace verbenalead::decide {
namespace {

/// Number of seeds that are simulated, so that no result depends on a single
/// one.
constexpr uint64_t kSeeds = 3;

/// Results of all calls, and of the tenth with the longest prompts.
struct Outcome {
  CallOutcomes m_all;
  CallOutcomes m_longest;
};

void Add(CallOutcomes& sum, const CallOutcomes& count) {
  sum.m_asked += count.m_asked;
  sum.m_on_time += count.m_on_time;
  sum.m_late += count.m_late;
  sum.m_refused += count.m_refused;
}

Outcome Play(const char* title, const FakeLoad& load) {
  Outcome outcome;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto [all, longest] = FakeFleet(load, seed).Play();
    Add(outcome.m_all, all);
    Add(outcome.m_longest, longest);
  }
  std::cout << title << ": on time " << outcome.m_all.OnTime() << ", late "
            << outcome.m_all.Late() << " of " << outcome.m_all.m_asked
            << "; of the longest tenth on time " << outcome.m_longest.OnTime()
            << "\n";
  return outcome;
}

/// Simulates loads over all entries, targets and replicas in virtual time, and
/// checks how many calls are on time.
class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(AboveCapacitySlotsGoToOnTimeCalls);
  CPPUNIT_TEST(FarAboveCapacitySlotsGoToOnTimeCalls);
  CPPUNIT_TEST(RetriesTakeNoSlotsFromFirstAttempts);
  CPPUNIT_TEST(BelowCapacityNoCallIsLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 16 replicas can serve 148 calls a second and get 215, and refused callers
  // retry once. If slots are granted in order of arrival, 64 in 100 calls are
  // on time and 9 late; by urgency, 68 and 3. At most 5 in 100 may be late, and
  // long prompts must be on time nearly as often as other calls.
  void AboveCapacitySlotsGoToOnTimeCalls() {
    FakeLoad load;
    load.m_queue_at_targets = false;
    const Outcome before = Play("215 calls/s, in order of arrival", load);
    load.m_queue_at_targets = true;
    const Outcome after = Play("215 calls/s, by urgency", load);
    CPPUNIT_ASSERT(after.m_all.OnTime() > before.m_all.OnTime());
    CPPUNIT_ASSERT(after.m_all.Late() <= kMaxLate);
    CPPUNIT_ASSERT(after.m_all.Late() < before.m_all.Late());
    CPPUNIT_ASSERT(after.m_longest.OnTime() >=
                   kFairShare * after.m_all.OnTime());
    CPPUNIT_ASSERT(after.m_longest.OnTime() > before.m_longest.OnTime());
  }

  void FarAboveCapacitySlotsGoToOnTimeCalls() {
    FakeLoad load;
    load.m_calls_per_second = 290;
    const Outcome outcome = Play("290 calls/s", load);
    CPPUNIT_ASSERT(outcome.m_all.Late() <= kMaxLate);
    CPPUNIT_ASSERT(outcome.m_longest.OnTime() >=
                   kFairShare * outcome.m_all.OnTime());
  }

  // Guards against refusing a call that could be on time because the last free
  // slot went to a retry that could not.
  void RetriesTakeNoSlotsFromFirstAttempts() {
    for (const double calls : {215.0, 290.0}) {
      FakeLoad load;
      load.m_calls_per_second = calls;
      load.m_shed_late_calls = false;
      const Outcome before = Play("retries wait too", load);
      load.m_shed_late_calls = true;
      const Outcome after = Play("retries refused at once", load);
      CPPUNIT_ASSERT(after.m_all.OnTime() > before.m_all.OnTime());
      CPPUNIT_ASSERT(after.m_all.Late() < before.m_all.Late());
      CPPUNIT_ASSERT(after.m_longest.OnTime() >=
                     kFairShare * after.m_all.OnTime());
    }
  }

  void BelowCapacityNoCallIsLate() {
    FakeLoad load;
    load.m_calls_per_second = 110;
    const Outcome outcome = Play("110 calls/s", load);
    CPPUNIT_ASSERT(outcome.m_all.OnTime() >= 0.99);
  }

 private:
  static constexpr double kMaxLate = 0.05;
  /// Long prompts must be on time at least this often relative to all calls. A
  /// size class that is served less than half as often counts as starved.
  static constexpr double kFairShare = 0.75;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace verbenalead::decide
