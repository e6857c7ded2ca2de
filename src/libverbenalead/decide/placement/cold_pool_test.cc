#include <cppunit/extensions/HelperMacros.h>

#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint32_t kSlots = 12;
constexpr Duration kColdStart = 8s;

model::Replica MakeReplica(const std::string& id,
                           std::optional<Duration> cold_left,
                           uint64_t revision = 1,
                           uint64_t started_ms = 1) {
  model::Replica replica;
  replica.m_id = id;
  replica.m_started_ms = started_ms;
  replica.m_revision = {0, revision};
  replica.m_data_center = "a";
  replica.m_slots = kSlots;
  replica.m_cold_left = cold_left;
  return replica;
}

ReplicaPool MakePool(const std::vector<model::Replica>& replicas) {
  ReplicaPool pool;
  pool.m_data_center = "a";
  SetColdLimits(pool, {14, 1.5, 5}, kColdStart, kStart);
  SetReplicas(pool, replicas, TimePoint(), kStart);
  return pool;
}

bool IsColdAt(const ReplicaPool& pool, const std::string& id, TimePoint now) {
  return IsCold(pool.m_replicas.at(id).m_known.m_cold, now);
}

class ColdPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdPoolTest);
  CPPUNIT_TEST(ColdTimeCountsFromTheReadingOfTheRow);
  CPPUNIT_TEST(RowsFromBeforeTheConfigurationCount);
  CPPUNIT_TEST(ServiceWithoutColdRateHasNoColdReplicas);
  CPPUNIT_TEST(WarmReplicasArePreferred);
  CPPUNIT_TEST(ColdReplicaTakesWhatTheOthersCannot);
  CPPUNIT_TEST(ColdReplicaCountsByItsCalls);
  CPPUNIT_TEST(CallsWaitOnlyForWhatColdReplicasTake);
  CPPUNIT_TEST(EvacuatedDataCenterIsPresumedCold);
  CPPUNIT_TEST(StartedReplicaIsPresumedCold);
  CPPUNIT_TEST(ReplicaWhoseRowReturnsIsNotPresumedCold);
  CPPUNIT_TEST(NothingOfAnEarlierIncarnationHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ColdTimeCountsFromTheReadingOfTheRow() {
    ReplicaPool pool = MakePool({MakeReplica("i-1", 5s)});
    SetReplicas(pool, {MakeReplica("i-1", 5s)}, TimePoint(), kStart + 4s);
    CPPUNIT_ASSERT(IsColdAt(pool, "i-1", kStart + 4s));
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart + 5s));
    // It becomes cold again.
    SetReplicas(pool, {MakeReplica("i-1", 2s, 2)}, TimePoint(), kStart + 6s);
    CPPUNIT_ASSERT(IsColdAt(pool, "i-1", kStart + 7s));
  }

  void RowsFromBeforeTheConfigurationCount() {
    ReplicaPool pool;
    SetReplicas(pool, {MakeReplica("i-1", 5s)}, TimePoint(), kStart);
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart));
    SetColdLimits(pool, {14}, kColdStart, kStart + 1s);
    CPPUNIT_ASSERT(IsColdAt(pool, "i-1", kStart + 1s));
  }

  // Guards against other decisions on deployments that ask for nothing of this.
  void ServiceWithoutColdRateHasNoColdReplicas() {
    ReplicaPool pool;
    SetReplicas(pool, {MakeReplica("i-1", 5s)}, TimePoint(), kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         PresumeCold(pool, "a", kColdStart, {0, 9}, kStart));
    CPPUNIT_ASSERT(pool.m_replicas.at("i-1").m_known.m_cold == ColdState());
    CPPUNIT_ASSERT_EQUAL(kSlots, LoadOf(pool, kStart).m_slots);
  }

  // Guards against cold replicas that get most calls, as they are idle.
  void WarmReplicasArePreferred() {
    ReplicaPool pool =
        MakePool({MakeReplica("cold", 5s), MakeReplica("warm", 0s)});
    for (uint32_t call = 0; call < kSlots; ++call)
      CPPUNIT_ASSERT(AcquireSlot(pool, {}, kStart, m_random) == "warm");
  }

  // Guards against an allowance that stays unused while calls wait.
  void ColdReplicaTakesWhatTheOthersCannot() {
    ReplicaPool pool =
        MakePool({MakeReplica("cold", 5s), MakeReplica("warm", 0s)});
    pool.m_replicas.at("warm").m_other_entries_calls = kSlots;
    CPPUNIT_ASSERT(AcquireSlot(pool, {}, kStart, m_random) == "cold");
    ReleaseSlot(pool, "cold", AttemptEnd::kAbandoned, kStart);
    HoldBack(pool.m_replicas.at("cold"), 70ms, kStart);
    CPPUNIT_ASSERT(!AcquireSlot(pool, {}, kStart, m_random));
    const std::vector<std::string> both = {"warm", "cold"};
    CPPUNIT_ASSERT(ReplicasToWaitAt(pool, {}, 2, kStart, m_random) == both);
    CPPUNIT_ASSERT(AcquireSlot(pool, {}, kStart + 70ms, m_random) == "cold");
  }

  // Guards against calls that are taken on for slots that no call may use.
  void ColdReplicaCountsByItsCalls() {
    ReplicaPool pool = MakePool({MakeReplica("cold", 5s)});
    pool.m_replicas.at("cold").m_other_entries_calls = 3;
    CPPUNIT_ASSERT_EQUAL(5U, LoadOf(pool, kStart).m_slots);
    HoldBack(pool.m_replicas.at("cold"), 70ms, kStart);
    CPPUNIT_ASSERT_EQUAL(3U, LoadOf(pool, kStart).m_slots);
    CPPUNIT_ASSERT_EQUAL(kSlots, LoadOf(pool, kStart + 5s).m_slots);
  }

  // Guards against calls that wait in vain, and against a refusal of calls that
  // can wait until a replica is warm.
  void CallsWaitOnlyForWhatColdReplicasTake() {
    ReplicaPool pool = MakePool({MakeReplica("cold", 5s)});
    for (uint64_t ticket = 0; ticket < 8; ++ticket) {
      CPPUNIT_ASSERT(MayStartBy(pool, PoolCall(), kStart + 500ms, kStart));
      PoolCall call;
      call.m_ticket = ticket;
      AddWaitingCall(pool, call);
    }
    CPPUNIT_ASSERT(!MayStartBy(pool, PoolCall(), kStart + 500ms, kStart));
    CPPUNIT_ASSERT(MayStartBy(pool, PoolCall(), kStart + 5s, kStart));
  }

  // Guards against replicas that get the calls of all entries at once after an
  // evacuation, since their rows of before its end say that they are warm.
  void EvacuatedDataCenterIsPresumedCold() {
    model::Replica other = MakeReplica("i-2", 0s, 3);
    other.m_data_center = "b";
    ReplicaPool pool = MakePool({MakeReplica("i-1", 0s, 3), other});
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         PresumeCold(pool, "a", kColdStart, {0, 7}, kStart));
    SetReplicas(pool, {MakeReplica("i-1", 0s, 6), other}, TimePoint(),
                kStart + 1s);
    CPPUNIT_ASSERT(IsColdAt(pool, "i-1", kStart + 1s));
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-2", kStart + 1s));
    SetReplicas(pool, {MakeReplica("i-1", 0s, 8), other}, TimePoint(),
                kStart + 2s);
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart + 2s));
  }

  void StartedReplicaIsPresumedCold() {
    ReplicaPool pool = MakePool({MakeReplica("i-1", std::nullopt)});
    // It may have run before this entry started.
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart));
    SetReplicas(pool,
                {MakeReplica("i-1", std::nullopt, 2, 2),
                 MakeReplica("i-2", std::nullopt, 3)},
                TimePoint(), kStart + 1s);
    for (const char* id : {"i-1", "i-2"}) {
      CPPUNIT_ASSERT(IsColdAt(pool, id, kStart + 1s));
      CPPUNIT_ASSERT(!IsColdAt(pool, id, kStart + 1s + kColdStart));
    }
    SetReplicas(pool, {MakeReplica("i-1", 0s, 4, 2)}, TimePoint(), kStart + 2s);
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart + 2s));
  }

  // Guards against a pool that is limited for seconds after an outage of the
  // store in which all rows expired.
  void ReplicaWhoseRowReturnsIsNotPresumedCold() {
    const std::vector<model::Replica> rows = {MakeReplica("i-1", std::nullopt)};
    ReplicaPool pool = MakePool(rows);
    SetReplicas(pool, {}, TimePoint(), kStart + 1s);
    CPPUNIT_ASSERT(pool.m_replicas.empty());
    SetReplicas(pool, rows, TimePoint(), kStart + 2s);
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart + 2s));
  }

  // Guards against a restarted replica that is taken for what it was before:
  // with its weights, statements, the calls of others, its failures or its cold
  // time.
  void NothingOfAnEarlierIncarnationHolds() {
    ReplicaPool pool = MakePool({MakeReplica("i-1", 5s)});
    ReplicaState& state = pool.m_replicas.at("i-1");
    state.m_weights = 7;
    state.m_other_entries_calls = 4;
    state.m_other_entries_unread_tokens = 100;
    state.m_queued_calls = 2;
    state.m_known.m_rate_limit = {1, kStart, true};
    state.m_failure_rate = 1;
    state.m_loading_until = state.m_closing_until = kStart + 9s;
    state.m_backoff_until = state.m_unresponsive_until = kStart + 9s;
    NoteRest(state, 9s, kStart, m_random);
    NoteLeaving(state);
    HoldBack(state, 9s, kStart);
    SetReplicas(pool, {MakeReplica("i-1", 0s, 2, 2)}, TimePoint(), kStart);
    CPPUNIT_ASSERT(!IsColdAt(pool, "i-1", kStart));
    CPPUNIT_ASSERT(AcquireSlot(pool, {}, kStart, m_random) == "i-1");
    CPPUNIT_ASSERT_EQUAL(kSlots, LoadOf(pool, kStart).m_slots);
    CPPUNIT_ASSERT_EQUAL(1U, LoadOf(pool, kStart).m_used_slots);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, state.m_weights);
    CPPUNIT_ASSERT_EQUAL(0.0, state.m_failure_rate);
  }

 private:
  std::mt19937_64 m_random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdPoolTest);

}  // namespace
}  // namespace verbenalead::decide
