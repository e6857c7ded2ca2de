#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "decide/fake_fleet.h"

namespace verbenalead::decide {
namespace {

/// Seeds that are played, so that no figure hangs on one of them.
constexpr uint64_t kSeeds = 3;

/// What became of all calls, and of the longest tenth.
struct Outcome {
  FakeCount m_all;
  FakeCount m_longest;
};

void Add(FakeCount& sum, const FakeCount& count) {
  sum.m_asked += count.m_asked;
  sum.m_on_time += count.m_on_time;
  sum.m_late += count.m_late;
  sum.m_refused += count.m_refused;
}

Outcome Play(const char* what, const FakeLoad& load) {
  Outcome outcome;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto [all, longest] = FakeFleet(load, seed).Play();
    Add(outcome.m_all, all);
    Add(outcome.m_longest, longest);
  }
  std::cout << what << ": on time " << outcome.m_all.OnTime() << ", late "
            << outcome.m_all.Late() << " of " << outcome.m_all.m_asked
            << "; of the longest tenth on time " << outcome.m_longest.OnTime()
            << "\n";
  return outcome;
}

/// Plays loads over all entries, targets and replicas in virtual time and looks
/// at what callers get.
class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(AboveCapacityPlacesGoToThoseWhoCanBeOnTime);
  CPPUNIT_TEST(FarAboveCapacityItHoldsToo);
  CPPUNIT_TEST(SecondTriesTakeNoPlacesOfFirstOnes);
  CPPUNIT_TEST(BelowCapacityNobodyIsLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 16 replicas do 148 calls a second and are asked for 215, and callers that
  // are refused come back once. Granted in the order of asking, 64 in 100 calls
  // are on time and 9 late; by urgency 68 and 3. No more than 5 in 100 are to
  // be late, and long prompts to be on time nearly as often as the others.
  void AboveCapacityPlacesGoToThoseWhoCanBeOnTime() {
    FakeLoad load;
    load.m_queue_at_targets = false;
    const Outcome before = Play("215 a second, in the order of asking", load);
    load.m_queue_at_targets = true;
    const Outcome after = Play("215 a second, by urgency", load);
    CPPUNIT_ASSERT(after.m_all.OnTime() > before.m_all.OnTime());
    CPPUNIT_ASSERT(after.m_all.Late() <= kMostLate);
    CPPUNIT_ASSERT(after.m_all.Late() < before.m_all.Late());
    CPPUNIT_ASSERT(after.m_longest.OnTime() >=
                   kFairShare * after.m_all.OnTime());
    CPPUNIT_ASSERT(after.m_longest.OnTime() > before.m_longest.OnTime());
  }

  void FarAboveCapacityItHoldsToo() {
    FakeLoad load;
    load.m_calls_per_second = 290;
    const Outcome outcome = Play("290 a second", load);
    CPPUNIT_ASSERT(outcome.m_all.Late() <= kMostLate);
    CPPUNIT_ASSERT(outcome.m_longest.OnTime() >=
                   kFairShare * outcome.m_all.OnTime());
  }

  // A caller who could be on time is refused, since the place that was free a
  // moment before went to a second try that can't be.
  void SecondTriesTakeNoPlacesOfFirstOnes() {
    for (const double calls : {215.0, 290.0}) {
      FakeLoad load;
      load.m_calls_per_second = calls;
      load.m_turns_late_away = false;
      const Outcome before = Play("second tries wait too", load);
      load.m_turns_late_away = true;
      const Outcome after = Play("second tries turned away", load);
      CPPUNIT_ASSERT(after.m_all.OnTime() > before.m_all.OnTime());
      CPPUNIT_ASSERT(after.m_all.Late() < before.m_all.Late());
      CPPUNIT_ASSERT(after.m_longest.OnTime() >=
                     kFairShare * after.m_all.OnTime());
    }
  }

  void BelowCapacityNobodyIsLate() {
    FakeLoad load;
    load.m_calls_per_second = 110;
    const Outcome outcome = Play("110 a second", load);
    CPPUNIT_ASSERT(outcome.m_all.OnTime() >= 0.99);
  }

 private:
  static constexpr double kMostLate = 0.05;
  /// Served less than half as often, a size class counts as starved.
  static constexpr double kFairShare = 0.75;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace verbenalead::decide
