#include "decide/rollout/even_turn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace verbenalead::decide {
namespace {

const TimePoint kWhole = TimePoint() + 3600s;

LoadWindow Window(Duration length) {
  return {kWhole, kWhole + length, kWhole + length + 700ms, 400ms, 0.75};
}

std::vector<TurnReplica> Replicas(size_t count) {
  std::vector<TurnReplica> replicas;
  for (size_t i = 0; i < count; ++i)
    replicas.push_back({"r" + std::to_string(i), "a", false});
  return replicas;
}

class EvenTurnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvenTurnTest);
  CPPUNIT_TEST(FewReplicasAreOutAtOnce);
  CPPUNIT_TEST(FullPoolDrainsForLessTime);
  CPPUNIT_TEST(ReplicasLoadAtDistinctTimesBeforeBound);
  CPPUNIT_TEST(UnlistedReplicaLoadsAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against too many of 27 replicas being out of service at once, each
  // for a second.
  void FewReplicasAreOutAtOnce() {
    constexpr size_t kReplicas = 27;
    const auto replicas = Replicas(kReplicas);
    std::vector<TimePoint> times;
    for (const TurnReplica& replica : replicas)
      times.push_back(EvenTurnOf(Window(4s), replica.m_id, replicas).m_at);
    for (const TimePoint time : times) {
      const auto out =
          std::count_if(times.begin(), times.end(), [time](TimePoint other) {
            return other <= time && time < other + 1s;
          });
      CPPUNIT_ASSERT(static_cast<size_t>(out) <= kReplicas / 4 + 1);
    }
  }

  // Guards against slots of a full pool that are idle during long drains.
  void FullPoolDrainsForLessTime() {
    CPPUNIT_ASSERT(EvenDrainTime(0.5) == EvenDrainTime(0.8));
    CPPUNIT_ASSERT(EvenDrainTime(0.8) > EvenDrainTime(0.9));
    CPPUNIT_ASSERT(EvenDrainTime(0.9) > EvenDrainTime(1));
    CPPUNIT_ASSERT(EvenDrainTime(1) == EvenDrainTime(1.2));
    CPPUNIT_ASSERT(EvenDrainTime(1) > Duration());
  }

  // Guards against hosts that load together or after the end of the window,
  // for any number of replicas.
  void ReplicasLoadAtDistinctTimesBeforeBound() {
    const bool held = rc::check("turns", [] {
      const auto replicas = Replicas(*rc::gen::inRange<size_t>(2, 60));
      std::map<TimePoint, int> times;
      for (const TurnReplica& replica : replicas) {
        const auto turn = EvenTurnOf(Window(3s), replica.m_id, replicas);
        RC_ASSERT(turn.m_at <= kWhole + 3s);
        RC_ASSERT(++times[turn.m_at] == 1);
      }
    });
    CPPUNIT_ASSERT(held);
  }

  // Guards against a replica without a row that never loads.
  void UnlistedReplicaLoadsAtOnce() {
    const auto turn = EvenTurnOf(Window(3s), "x", Replicas(5));
    CPPUNIT_ASSERT(turn.m_at == kWhole);
    CPPUNIT_ASSERT(turn.m_reason == TurnReason::kUnlisted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvenTurnTest);

}  // namespace
}  // namespace verbenalead::decide
