#include "decide/rollout/load_turn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace verbenalead::decide {
namespace {

const TimePoint kWhole = TimePoint() + 3600s;
constexpr Duration kLoad = 400ms;
constexpr Duration kBoundAfterEnd = 700ms;

LoadWindow Window(Duration length, double fullness) {
  return {kWhole, kWhole + length, kWhole + length + kBoundAfterEnd, kLoad,
          fullness};
}

/// `count` replicas, every third one in data centre "c", the others in turns in
/// "a" and "b" with other numbers of replicas.
std::vector<TurnReplica> Replicas(size_t count) {
  std::vector<TurnReplica> replicas;
  for (size_t i = 0; i < count; ++i) {
    const std::string data_center = i % 3 == 0 ? "c" : i % 4 == 0 ? "b" : "a";
    replicas.push_back({"r" + std::to_string(i), data_center, false});
  }
  return replicas;
}

std::vector<LoadTurn> Turns(const LoadWindow& window,
                            const std::vector<TurnReplica>& replicas) {
  std::vector<LoadTurn> turns;
  for (const TurnReplica& replica : replicas)
    turns.push_back(TurnOf(window, replica.m_id, replicas, kWhole));
  return turns;
}

/// The largest number of replicas that are out of service at the same time.
size_t MostOut(const std::vector<LoadTurn>& turns) {
  size_t most = 0;
  for (const LoadTurn& turn : turns) {
    const auto out =
        std::count_if(turns.begin(), turns.end(), [&](const LoadTurn& other) {
          return other.m_at <= turn.m_at &&
                 turn.m_at < other.m_at + other.m_drain + kLoad;
        });
    most = std::max(most, static_cast<size_t>(out));
  }
  return most;
}

class LoadTurnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTurnTest);
  CPPUNIT_TEST(FewReplicasAreOutAtOnce);
  CPPUNIT_TEST(FullPoolDrainsForLessTime);
  CPPUNIT_TEST(ReplicasLoadAtDistinctTimesBeforeBound);
  CPPUNIT_TEST(HalvesFollowEachOtherInShortWindow);
  CPPUNIT_TEST(DataCentersAlternate);
  CPPUNIT_TEST(UnusedReplicasLoadAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against too many replicas being out of service at once: 27 replicas
  // load one after the other at three quarters of the capacity of the pool.
  // When ten replicas were out of service at once, half of the calls were late.
  // No more than seven may be out at once.
  void FewReplicasAreOutAtOnce() {
    constexpr size_t kReplicas = 27;
    const auto turns = Turns(Window(4s, 0.75), Replicas(kReplicas));
    CPPUNIT_ASSERT(MostOut(turns) <= kReplicas / 4 + 1);
  }

  // Guards against drains that leave replicas idle: those of a full pool, and
  // those in a short window, must be shorter.
  void FullPoolDrainsForLessTime() {
    const auto drain = [](double fullness) {
      return DrainTime(Window(9s, fullness));
    };
    CPPUNIT_ASSERT(drain(0.5) == drain(0.8));
    CPPUNIT_ASSERT(drain(0.8) > drain(0.9));
    CPPUNIT_ASSERT(drain(0.9) > drain(1));
    CPPUNIT_ASSERT(drain(1) == drain(1.2));
    CPPUNIT_ASSERT(drain(1) > Duration());
    CPPUNIT_ASSERT(DrainTime(Window(1500ms, 0.66)) <
                   DrainTime(Window(3s, 0.66)));
  }

  // Each host computes its load time from the same list. For any number of
  // replicas, all load times must differ, the ranks must be those from 0 on,
  // no replica may still take calls at the end of the window, and all must be
  // back by the bound.
  void ReplicasLoadAtDistinctTimesBeforeBound() {
    const bool held = rc::check("turns", [] {
      const auto replicas = Replicas(*rc::gen::inRange<size_t>(2, 60));
      const Duration length = 10ms * *rc::gen::inRange(80, 900);
      const double fullness = *rc::gen::inRange(0, 100) / 100.0;
      std::map<TimePoint, int> times;
      std::map<size_t, int> ranks;
      for (const LoadTurn& turn : Turns(Window(length, fullness), replicas)) {
        RC_ASSERT(turn.m_at <= kWhole + length);
        RC_ASSERT(turn.m_at + turn.m_drain + kLoad <=
                  kWhole + length + kBoundAfterEnd);
        RC_ASSERT(++times[turn.m_at] == 1);
        RC_ASSERT(++ranks[turn.m_rank] == 1);
        RC_ASSERT(turn.m_rank < replicas.size());
      }
    });
    CPPUNIT_ASSERT(held);
  }

  // Guards against a pool without any replica although the older weights may
  // still be used: the version is complete only 0.5 s before the bound.
  void HalvesFollowEachOtherInShortWindow() {
    const auto turns = Turns(Window(500ms, 0.66), Replicas(88));
    CPPUNIT_ASSERT_EQUAL(size_t{44}, MostOut(turns));
    for (const LoadTurn& turn : turns) {
      CPPUNIT_ASSERT(turn.m_at == kWhole || turn.m_at == kWhole + kLoad);
      CPPUNIT_ASSERT(turn.m_reason == TurnReason::kHalf);
    }
    // The second half doesn't wait beyond the bound.
    for (const LoadTurn& turn : Turns(Window(100ms, 0.66), Replicas(88)))
      CPPUNIT_ASSERT(turn.m_at <= kWhole + 100ms);
  }

  // Guards against a data centre whose replicas are all out of service at the
  // same time, while callers of its region wait for replicas farther away.
  void DataCentersAlternate() {
    const auto replicas = Replicas(48);
    const auto turns = Turns(Window(8s, 0.66), replicas);
    for (const std::string data_center : {"a", "b", "c"}) {
      std::vector<size_t> ranks;
      for (size_t i = 0; i < replicas.size(); ++i) {
        if (replicas[i].m_data_center == data_center)
          ranks.push_back(turns[i].m_rank);
      }
      std::sort(ranks.begin(), ranks.end());
      const size_t step = replicas.size() / ranks.size();
      for (size_t i = 1; i < ranks.size(); ++i)
        CPPUNIT_ASSERT(ranks[i] - ranks[i - 1] <= step + 2);
    }
  }

  // Guards against idle replicas that wait for a turn, and against turns that
  // are kept free for them: a replica that gets no calls loads at once.
  void UnusedReplicasLoadAtOnce() {
    auto replicas = Replicas(12);
    const auto late =
        TurnOf(Window(3s, 0.66), "r11", replicas, kWhole + 3500ms);
    CPPUNIT_ASSERT(late.m_reason == TurnReason::kWindowPast);
    CPPUNIT_ASSERT(late.m_at <= kWhole + 3500ms);
    CPPUNIT_ASSERT(late.m_drain < DrainTime(Window(3s, 0.66)));
    for (TurnReplica& replica : replicas)
      replica.m_evacuated = replica.m_data_center == "c";
    const auto evacuated = TurnOf(Window(3s, 0.66), "r0", replicas, kWhole);
    CPPUNIT_ASSERT(evacuated.m_reason == TurnReason::kEvacuated);
    CPPUNIT_ASSERT(evacuated.m_at == kWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, evacuated.m_count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTurnTest);

}  // namespace
}  // namespace verbenalead::decide
