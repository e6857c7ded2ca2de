#include "target/slot_granter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

namespace verbenalead::target {
namespace {

constexpr uint32_t kSlots = 4;
const Endpoint kEntry("127.0.0.1", 9);
const Endpoint kOther("127.0.0.2", 9);

class SlotGranterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotGranterTest);
  CPPUNIT_TEST(GrantsNoMoreThanAvailableSlots);
  CPPUNIT_TEST(LearnsCallsOfEntriesAfterRestart);
  CPPUNIT_TEST(DropsCallsOfDeadEntry);
  CPPUNIT_TEST(GrantsNothingWhileLoading);
  CPPUNIT_TEST(RateLimitOfOneEntryBindsAll);
  CPPUNIT_TEST(NewReplicaHasNoRateLimit);
  CPPUNIT_TEST(LeavingReplicaIsGrantedNoSlots);
  CPPUNIT_TEST(WaitingCallsAreRejectedWhenTheReplicaLeaves);
  CPPUNIT_TEST(NewReplicaIsNotLeaving);
  CPPUNIT_TEST(RequestTellsAStartedTargetThatTheReplicaIsCold);
  CPPUNIT_TEST(OwnRowAndReportTellThatTheReplicaIsCold);
  CPPUNIT_TEST(ReportsOfAnEarlierIncarnationChangeNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<TargetState>(TargetOptions());
    m_state->m_engine = model::EngineProfile();
    m_state->m_engine->m_slots = kSlots;
    m_update = {};
    m_slot_granter = std::make_unique<SlotGranter>(*m_state, m_datagrams,
                                                   [this] { return m_update; });
  }

  void GrantsNoMoreThanAvailableSlots() {
    for (uint32_t call = 0; call < kSlots + 2; ++call)
      RequestSlot(kEntry, std::min(call, kSlots));
    CPPUNIT_ASSERT_EQUAL(kSlots, m_slot_granter->Calls().m_calls);
  }

  // Guards against a first event that is 0.7 s late after a target process was
  // killed: the new process knows of no calls and would grant all slots again.
  // Each request states the calls of its entry at the replica, so that the
  // process needs no stored state.
  void LearnsCallsOfEntriesAfterRestart() {
    RequestSlot(kEntry, 2);
    RequestSlot(kOther, 1);
    RequestSlot(kOther, 1);
    CPPUNIT_ASSERT_EQUAL(kSlots, m_slot_granter->Calls().m_calls);
  }

  // Guards against slots that stay unused because an entry died and does not
  // report the end of its calls. Its calls count for 2.5 s after its last
  // report.
  void DropsCallsOfDeadEntry() {
    RequestSlot(kEntry, 3);
    m_slot_granter->ExpireSilentEntries(Now() + 1s);
    CPPUNIT_ASSERT_EQUAL(kSlots, m_slot_granter->Calls().m_calls);
    m_slot_granter->ExpireSilentEntries(Now() + 3s);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
  }

  void GrantsNothingWhileLoading() {
    m_update.m_loading = true;
    RequestSlot(kEntry, 0);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
  }

  // Guards against a limit that only the entry keeps which got the answer.
  void RateLimitOfOneEntryBindsAll() {
    links::CallUpdate update;
    update.m_replica = "i-1";
    update.m_statements.m_rate_limit = links::RateLimitReport{0, Duration()};
    m_slot_granter->HandleCallReport(kEntry, update);
    RequestSlot(kOther, 0);
    RequestSlot(kEntry, 0);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
    update.m_statements.m_rate_limit = links::RateLimitReport{};
    m_slot_granter->HandleCallReport(kEntry, update);
    RequestSlot(kOther, 0);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
  }

  void LeavingReplicaIsGrantedNoSlots() {
    m_slot_granter->HandleCallReport(kEntry, LeavingUpdate("i-1"));
    RequestSlot(kOther, 0);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
    // The engine itself states it, before any entry has heard of it.
    RequestSlot(kOther, 0, "i-2");
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
    m_update.m_statements.m_leaving = 0;
    RequestSlot(kOther, 1, "i-2");
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
  }

  // Guards against calls that wait at a target which grants nothing any more.
  void WaitingCallsAreRejectedWhenTheReplicaLeaves() {
    for (uint32_t call = 0; call < kSlots; ++call)
      RequestSlot(kEntry, call);
    RequestSlot(kEntry, kSlots, "i-1", 10s);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->waiting());
    m_slot_granter->HandleCallReport(kOther, LeavingUpdate("i-1"));
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->waiting());
  }

  void NewReplicaIsNotLeaving() {
    m_slot_granter->HandleCallReport(kEntry, LeavingUpdate("i-1"));
    RequestSlot(kEntry, 0, "i-2");
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
  }

  // Guards against a target process that has just started and grants all slots
  // of a cold replica at once.
  void RequestTellsAStartedTargetThatTheReplicaIsCold() {
    m_state->m_cold_limits = {14, 1.5, 5};
    RequestColdSlot(0, 7);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
    RequestSlot(kOther, 0);
    CPPUNIT_ASSERT_EQUAL(0U, m_slot_granter->Calls().m_calls);
    // Without limits for cold replicas the statement changes nothing.
    setUp();
    RequestColdSlot(0, 7);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
  }

  void OwnRowAndReportTellThatTheReplicaIsCold() {
    m_state->m_cold_limits = {14, 1.5, 5};
    model::Replica& own = ListOwnReplica();
    RequestSlot(kEntry, 0);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
    own.m_cold_left = 5s;
    own.m_revision = {0, 9};
    RequestSlot(kEntry, 1);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
    m_state->m_engine_started_ms = 1;
    m_state->m_engine_cold = decide::ColdByAnswer(0s, Now());
    RequestSlot(kEntry, 1);
    CPPUNIT_ASSERT_EQUAL(2U, m_slot_granter->Calls().m_calls);
    m_state->m_engine_cold = decide::ColdByAnswer(5s, Now());
    RequestSlot(kEntry, 2);
    CPPUNIT_ASSERT_EQUAL(2U, m_slot_granter->Calls().m_calls);
  }

  // Guards against a restarted replica under the same id that is taken for cold
  // or limited, as an entry hasn't heard of the restart yet, and against one
  // that isn't taken for cold, as this process hasn't.
  void ReportsOfAnEarlierIncarnationChangeNothing() {
    m_state->m_cold_limits = {14, 1.5, 5};
    ListOwnReplica().m_started_ms = 8;
    RequestColdSlot(0, 7);
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
    links::CallUpdate update;
    update.m_replica = "i-1";
    update.m_calls.m_calls = 1;
    update.m_statements.m_rate_limit = links::RateLimitReport{0, Duration()};
    update.m_statements.m_started_ms = 7;
    m_slot_granter->HandleCallReport(kEntry, update);
    RequestSlot(kEntry, 1);
    CPPUNIT_ASSERT_EQUAL(2U, m_slot_granter->Calls().m_calls);
    RequestColdSlot(2, 9);
    RequestSlot(kEntry, 2);
    CPPUNIT_ASSERT_EQUAL(2U, m_slot_granter->Calls().m_calls);
  }

  void NewReplicaHasNoRateLimit() {
    links::CallUpdate update;
    update.m_replica = "i-1";
    update.m_statements.m_rate_limit = links::RateLimitReport{0, Duration()};
    m_slot_granter->HandleCallReport(kEntry, update);
    RequestSlot(kEntry, 0, "i-2");
    CPPUNIT_ASSERT_EQUAL(1U, m_slot_granter->Calls().m_calls);
  }

 private:
  static links::CallUpdate LeavingUpdate(const std::string& replica) {
    links::CallUpdate update;
    update.m_replica = replica;
    update.m_statements.m_leaving = 0;
    return update;
  }

  /// Lists the replica on this host in the store, started at 1.
  model::Replica& ListOwnReplica() {
    model::Replica& own = m_state->m_listed["i-1"];
    own.m_id = "i-1";
    own.m_started_ms = 1;
    own.m_endpoint = m_state->m_options.m_engine;
    own.m_service = m_state->m_options.m_service;
    return own;
  }

  /// kEntry, which has `calls` at the replica, requests one more slot, and says
  /// that the incarnation that began at `started_ms` is cold.
  void RequestColdSlot(uint32_t calls, uint64_t started_ms) {
    links::SlotRequestMessage request;
    request.m_replica = "i-1";
    request.m_calls.m_calls = calls;
    request.m_statements.m_cold =
        links::ColdReport{5s, decide::ColdSource::kRow, {0, 5}, Duration()};
    request.m_statements.m_started_ms = started_ms;
    m_slot_granter->Grant(kEntry, request);
  }

  /// `entry`, which has `calls` at the replica, requests one more slot.
  void RequestSlot(const Endpoint& entry,
                   uint32_t calls,
                   const std::string& replica = "i-1",
                   Duration max_wait = Duration()) {
    links::SlotRequestMessage request;
    request.m_max_wait = max_wait;
    request.m_read_within = max_wait;
    request.m_replica = replica;
    request.m_calls.m_calls = calls;
    m_slot_granter->Grant(entry, request);
  }

  boost::asio::io_context m_io;
  links::DatagramSocket m_datagrams{m_io.get_executor(),
                                    Endpoint("127.0.0.1", 0)};
  std::unique_ptr<TargetState> m_state;
  links::ReplicaUpdate m_update;
  std::unique_ptr<SlotGranter> m_slot_granter;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotGranterTest);

}  // namespace
}  // namespace verbenalead::target
