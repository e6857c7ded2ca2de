#include "decide/load_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr LoadTimes kTimes = {7500ms, 3400ms, 1s};

DeclaredVersion Declared(Duration at, Duration here) {
  return {kStart + at, kStart + here};
}

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(NothingToDo);
  CPPUNIT_TEST(TurnsFillTheTimeBetweenTransferAndBound);
  CPPUNIT_TEST(AVersionIsSkippedIfTheNewerComesInTime);
  CPPUNIT_TEST(AnOlderVersionIsLoadedWhileTheOriginIsDown);
  CPPUNIT_TEST(EachReplicaHasItsOwnTurnBeforeTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingToDo() {
    CPPUNIT_ASSERT(!PlanLoad(kTimes, {}, 1));
    CPPUNIT_ASSERT(!PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 2));
  }

  void TurnsFillTheTimeBetweenTransferAndBound() {
    const auto plan = PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, plan->m_version);
    CPPUNIT_ASSERT(plan->m_first == kStart + 3400ms);
    CPPUNIT_ASSERT(plan->m_last == kStart + 6500ms);
  }

  void AVersionIsSkippedIfTheNewerComesInTime() {
    const auto plan =
        PlanLoad(kTimes, {{2, Declared(0s, 3s)}, {3, Declared(1s, 4400ms)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, plan->m_version);
    // The older one's bound still holds.
    CPPUNIT_ASSERT(plan->m_last == kStart + 6500ms);
  }

  // Callers find no replica for seconds: two versions are named 2 s apart and
  // the origin dies in between. The newer one can't come before the older one
  // binds, so the older one has to be loaded meanwhile.
  void AnOlderVersionIsLoadedWhileTheOriginIsDown() {
    const auto plan =
        PlanLoad(kTimes, {{2, Declared(0s, 3s)}, {3, Declared(2s, 11s)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, plan->m_version);
  }

  // Each host works out its turn alone. For any number of replicas no two turns
  // are the same, and all leave time for the load before the bound.
  void EachReplicaHasItsOwnTurnBeforeTheBound() {
    const bool held = rc::check("turns", [] {
      const size_t count = *rc::gen::inRange<size_t>(2, 60);
      std::vector<std::string> replicas;
      for (size_t i = 0; i < count; ++i)
        replicas.push_back("r" + std::to_string(i));
      const auto plan = PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 1);
      std::map<TimePoint, int> turns;
      for (const std::string& replica : replicas) {
        const TimePoint turn = LoadTurn(*plan, replica, replicas);
        RC_ASSERT(turn + kTimes.m_outage <= kStart + kTimes.m_bound);
        RC_ASSERT(++turns[turn] == 1);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace
}  // namespace verbenalead::decide
