#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"
#include "entry/row_applier.h"

namespace verbenalead::entry {
namespace {

/// Replicas in two data centres, of which calls may use one: `a` has i-0 and
/// i-1, `b` has i-2 and i-3.
class CallRegionsTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallRegionsTest);
  CPPUNIT_TEST(AttemptsStayInTheRegionsOfTheRoute);
  CPPUNIT_TEST(CallWaitsRatherThanLeaveItsRegions);
  CPPUNIT_TEST(CallWithoutARegionIsRefusedWithTheReason);
  CPPUNIT_TEST(NewCallsLeaveAnEvacuatedDataCentreAndRunningOnesGoOn);
  CPPUNIT_TEST(RetryDoesNotGoToAnEvacuatedDataCentre);
  CPPUNIT_TEST(CallIsRefusedWithTheReasonIfAllIsEvacuated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CallFixture::setUp();
    for (const char* id : {"i-0", "i-1"})
      Replica(id).m_replica.m_data_center = "a";
    for (const char* id : {"i-2", "i-3"})
      Replica(id).m_replica.m_data_center = "b";
    m_rows = std::make_unique<RowApplier>(*m_state);
  }

  // Guards against a second attempt of any kind in a region in which the call
  // must not be served. The entry itself is in the other region, whose replicas
  // cost less.
  void AttemptsStayInTheRegionsOfTheRoute() {
    Restrict({"west"}, {});
    for (const std::string path : {"/read/1", "/stream/1"}) {
      for (const wire::ScriptedAnswer& first :
           {NotRun(), Silent(), Answer(200, {Event(1)}, true)}) {
        EndBackoffs();
        m_replicas.m_requests.clear();
        m_replicas.m_answers = {first, Answer(200, {Event(2)})};
        CPPUNIT_ASSERT_EQUAL(200, Call(path).m_status);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
        for (size_t attempt : {0, 1})
          CPPUNIT_ASSERT(Asked(attempt) == "i-2" || Asked(attempt) == "i-3");
      }
    }
  }

  void CallWaitsRatherThanLeaveItsRegions() {
    Restrict({"east"}, {});
    for (const char* id : {"i-0", "i-1"})
      Replica(id).m_other_entries_calls = 4;
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("full") != std::string::npos);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  // Guards against a call that waits for its whole time, and a reason that
  // names full replicas, where the configuration leaves it none.
  void CallWithoutARegionIsRefusedWithTheReason() {
    Restrict({"east"}, {"west"});
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("not run: regions") != std::string::npos);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
    m_replicas.m_answers = {Answer(200, {"ok"})};
    Restrict({"east"}, {"east", "west"});
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
  }

  // Guards against a stream that is cut off by an evacuation, and against new
  // calls there.
  void NewCallsLeaveAnEvacuatedDataCentreAndRunningOnesGoOn() {
    Restrict({"east"}, {});
    m_replicas.m_answers = {Answer(200, {Event(1), Event(2)})};
    m_replicas.m_answers[0].m_piece_delays[1] = 200ms;
    boost::asio::steady_timer timer(*m_io, 50ms);
    timer.async_wait([this](const boost::system::error_code&) {
      SetEvacuated("a", false);
      m_slot_allocator->WakeAll();
    });
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(0U, CallsInFlight());
    Restrict({}, {});
    for (int call = 0; call < 20; ++call) {
      m_replicas.m_answers = {Answer(200, {"ok"})};
      CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    }
    for (size_t call = 1; call < m_replicas.m_requests.size(); ++call)
      CPPUNIT_ASSERT(Asked(call) == "i-2" || Asked(call) == "i-3");
  }

  // Guards against a retry, resumed stream or hedge that goes back to the data
  // centre that was evacuated during the first attempt.
  void RetryDoesNotGoToAnEvacuatedDataCentre() {
    wire::ScriptedAnswer broken = Answer(200, {Event(1)}, true);
    broken.m_head_delay = 100ms;
    m_replicas.m_answers = {broken, Answer(200, {Event(2)})};
    boost::asio::steady_timer timer(*m_io, 20ms);
    timer.async_wait(
        [this](const boost::system::error_code&) { SetEvacuated("b", false); });
    Restrict({}, {});
    for (const char* id : {"i-0", "i-1"})
      Replica(id).m_other_entries_calls = 3;
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(Asked(0) == "i-2" || Asked(0) == "i-3");
    CPPUNIT_ASSERT(Asked(1) == "i-0" || Asked(1) == "i-1");
  }

  void CallIsRefusedWithTheReasonIfAllIsEvacuated() {
    SetEvacuated("a", false);
    SetEvacuated("b", false);
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("not run: evacuation") !=
                   std::string::npos);
    CPPUNIT_ASSERT(caller.m_headers.contains("retry-after"));
    SetEvacuated("b", true);
    m_replicas.m_answers = {Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
  }

 private:
  /// Nothing else wakes a call that waits for the end of a backoff here.
  void EndBackoffs() {
    for (const char* id : {"i-0", "i-1", "i-2", "i-3"}) {
      Replica(id).m_backoff_until = TimePoint();
      Replica(id).m_consecutive_failures = 0;
    }
  }

  /// Sets the regions that the routes and the organisation name.
  void Restrict(const std::vector<std::string>& routes,
                const std::vector<std::string>& organisation) {
    model::RoutingConfig config = m_state->m_routes->config();
    for (model::Route& route : config.m_routes)
      route.m_regions = routes;
    config.m_organisations[0].m_regions = organisation;
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
  }

  void SetEvacuated(const std::string& data_center, bool removed) {
    platform::Rows rows;
    rows.m_revision = {0, ++m_revision};
    rows.m_asked_at = rows.m_store_time = BootNow();
    rows.m_rows = {{"evacuate/" + data_center, removed ? "" : "{}",
                    rows.m_revision, removed}};
    m_rows->ApplyOperatorRows(rows, false);
  }

  uint64_t m_revision = 0;
  std::unique_ptr<RowApplier> m_rows;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallRegionsTest);

}  // namespace
}  // namespace verbenalead::entry
