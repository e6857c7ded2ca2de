#include "entry/cold_replicas.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace verbenalead::entry {
namespace {

constexpr char kService[] = "pool";

class ColdReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdReplicasTest);
  CPPUNIT_TEST(AbsurdStatementsAreIgnoredAndLoggedOnce);
  CPPUNIT_TEST(TargetsAreToldOfEachChangeOnce);
  CPPUNIT_TEST(AnswersAndRowsTellThatAReplicaIsCold);
  CPPUNIT_TEST(PresumptionReachesTheTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<EntryState>(EntryOptions());
    m_service.m_name = kService;
    m_service.m_engine = model::EngineProfile();
    m_service.m_cold_rate = 14;
    m_service.m_cold_start = 8s;
    m_told = 0;
    ApplyColdConfig(*m_state, m_service, Pool());
    Pool().m_prefill_rate = 1000;
    SetRow(Duration(), 1);
  }

  // Guards against a replica that is limited for hours by a mistaken figure,
  // and against a line for each heartbeat or answer that has one.
  void AbsurdStatementsAreIgnoredAndLoggedOnce() {
    for (uint64_t revision = 2; revision < 5; ++revision) {
      SetRow(-5s, revision);
      LearnColdAnswer(*m_state, Pool(), At(), std::chrono::hours(1), "call");
      Report(Now());
    }
    CPPUNIT_ASSERT(!decide::IsCold(At().m_known.m_cold, Now()));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_state->m_logged_cold_values.size());
    for (const double rate : {-14.0, 0.0}) {
      m_service.m_cold_rate = rate;
      ApplyColdConfig(*m_state, m_service, Pool());
      ApplyColdConfig(*m_state, m_service, Pool());
      CPPUNIT_ASSERT_EQUAL(0.0, Pool().m_cold_limits.m_rate);
      CPPUNIT_ASSERT_EQUAL(Duration(), Pool().m_cold_start);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, m_state->m_logged_cold_values.size());
  }

  // Guards against a target that isn't told: this entry may be the only one
  // that reads the store, and sends cold replicas no calls of its own.
  void TargetsAreToldOfEachChangeOnce() {
    Report(Now());
    CPPUNIT_ASSERT_EQUAL(0, m_told);
    SetRow(5s, 2);
    Report(Now());
    Report(Now());
    CPPUNIT_ASSERT_EQUAL(1, m_told);
    Report(Now() + 6s);
    Report(Now() + 6s);
    CPPUNIT_ASSERT_EQUAL(2, m_told);
  }

  void AnswersAndRowsTellThatAReplicaIsCold() {
    LearnColdAnswer(*m_state, Pool(), At(), 5s, "call");
    CPPUNIT_ASSERT(At().m_known.m_cold.m_source == decide::ColdSource::kAnswer);
    CPPUNIT_ASSERT(decide::LimitOf(Pool(), At(), Now()).m_rate);
    LearnColdAnswer(*m_state, Pool(), At(), Duration(), "call");
    CPPUNIT_ASSERT(!decide::LimitOf(Pool(), At(), Now()).m_rate);
    SetRow(5s, 2);
    CPPUNIT_ASSERT(decide::LimitOf(Pool(), At(), Now()).m_rate);
  }

  // Guards against a target process that grants all slots of its replica after
  // an evacuation, as nobody tells it that this is presumed cold.
  void PresumptionReachesTheTarget() {
    decide::PresumeCold(Pool(), "a", Pool().m_cold_start, {0, 9}, Now());
    Report(Now());
    CPPUNIT_ASSERT_EQUAL(1, m_told);
    const auto report =
        links::ReportOf(At().m_known, At().m_replica.m_started_ms, Now());
    CPPUNIT_ASSERT(report.m_cold.has_value());
    CPPUNIT_ASSERT(report.m_cold->m_source == decide::ColdSource::kPresumed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, report.m_cold->m_revision.m_number);
    CPPUNIT_ASSERT_EQUAL(At().m_replica.m_started_ms, report.m_started_ms);
  }

 private:
  decide::ReplicaPool& Pool() {
    return GetOrCreateService(*m_state, kService).m_pool;
  }
  decide::ReplicaState& At() { return Pool().m_replicas.at("i-1"); }

  void SetRow(Duration cold_left, uint64_t revision) {
    model::Replica replica;
    replica.m_id = "i-1";
    replica.m_started_ms = 7;
    replica.m_revision = {0, revision};
    replica.m_service = kService;
    replica.m_data_center = "a";
    replica.m_slots = 8;
    replica.m_cold_left = cold_left;
    decide::SetReplicas(Pool(), {replica}, TimePoint(), Now());
  }

  void Report(TimePoint now) {
    ReportColdReplicas(
        *m_state, [this](const decide::ReplicaState&) { ++m_told; }, now);
  }

  std::unique_ptr<EntryState> m_state;
  model::Service m_service;
  int m_told = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdReplicasTest);

}  // namespace
}  // namespace verbenalead::entry
