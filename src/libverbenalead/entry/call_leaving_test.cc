#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"
#include "entry/peer_updates.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

wire::ScriptedAnswer Leaving(wire::ScriptedAnswer answer) {
  answer.m_head.m_headers[platform::kLeaving] = "1";
  return answer;
}

wire::ScriptedAnswer Misdirected() {
  wire::ScriptedAnswer answer = Answer(421, {});
  answer.m_head.m_headers[platform::kNotExecuted] = "1";
  return answer;
}

/// Replicas that state in their answers alone that they are leaving; their rows
/// never say so.
class CallLeavingTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallLeavingTest);
  CPPUNIT_TEST(NoCallGoesToALeavingReplica);
  CPPUNIT_TEST(RetryDoesNotGoToALeavingReplica);
  CPPUNIT_TEST(HedgeDoesNotGoToALeavingReplica);
  CPPUNIT_TEST(StreamIsNotResumedAtALeavingReplica);
  CPPUNIT_TEST(RunningStreamOfALeavingReplicaGoesOn);
  CPPUNIT_TEST(CallIsRefusedIfAllReplicasLeave);
  CPPUNIT_TEST(ReplicaThatTookOverAnAddressSpeaksForItself);
  CPPUNIT_TEST(OtherEntriesLearnWhoIsLeaving);
  CPPUNIT_TEST(ReportOfAnotherIncarnationIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoCallGoesToALeavingReplica() {
    m_replicas.m_answers = {Leaving(Answer(200, {"ok"}))};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    for (int call = 0; call < 40; ++call) {
      m_replicas.m_answers = {Answer(200, {"ok"})};
      CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    }
    for (size_t call = 1; call < m_replicas.m_requests.size(); ++call)
      CPPUNIT_ASSERT(Asked(call) != Asked(0));
  }

  void RetryDoesNotGoToALeavingReplica() {
    for (const char* id : {"i-0", "i-1"})
      decide::NoteLeaving(Replica(id));
    m_replicas.m_answers = {Leaving(NotRun()), Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT(Asked(0) == "i-2" || Asked(0) == "i-3");
    CPPUNIT_ASSERT(Asked(1) == "i-2" || Asked(1) == "i-3");
    CPPUNIT_ASSERT(Asked(0) != Asked(1));
  }

  void HedgeDoesNotGoToALeavingReplica() {
    for (const char* id : {"i-0", "i-1"})
      decide::NoteLeaving(Replica(id));
    m_replicas.m_answers = {Silent(), Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Call("/read/1").m_body);
    CPPUNIT_ASSERT(Asked(1) == "i-2" || Asked(1) == "i-3");
  }

  void StreamIsNotResumedAtALeavingReplica() {
    for (const char* id : {"i-0", "i-1"})
      decide::NoteLeaving(Replica(id));
    m_replicas.m_answers = {Answer(200, {Event(1)}, true),
                            Answer(200, {Event(2)})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(Asked(1) == "i-2" || Asked(1) == "i-3");
  }

  void RunningStreamOfALeavingReplicaGoesOn() {
    m_replicas.m_answers = {Leaving(Answer(200, {Event(1), Event(2)}))};
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), Call("/stream/1").m_body);
    CPPUNIT_ASSERT(Replica(Asked(0)).m_known.m_leaving);
    CPPUNIT_ASSERT_EQUAL(0U, CallsInFlight());
  }

  void CallIsRefusedIfAllReplicasLeave() {
    for (const char* id : {"i-0", "i-1", "i-2", "i-3"})
      decide::NoteLeaving(Replica(id));
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("no_replica") != std::string::npos);
    CPPUNIT_ASSERT(caller.m_headers.contains("retry-after"));
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  // Guards against a replica that gets no calls because another one, which has
  // taken over the address of its row, is leaving.
  void ReplicaThatTookOverAnAddressSpeaksForItself() {
    m_replicas.m_answers = {Leaving(Misdirected()), Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT(!Replica(Asked(0)).m_known.m_leaving);
  }

  void OtherEntriesLearnWhoIsLeaving() {
    CPPUNIT_ASSERT(StatementsToReport(*m_state, Now()).empty());
    EntryState other(Options());
    GetOrCreateService(other, "pool").m_pool =
        GetOrCreateService(*m_state, "pool").m_pool;
    decide::NoteLeaving(Replica("i-1"));
    links::EntryUpdate update = MakeEntryUpdate(*m_state);
    update.m_address.m_host = "e2";
    ApplyUpdate(other, update, Now());
    for (const auto& [id, replica] :
         GetOrCreateService(other, "pool").m_pool.m_replicas)
      CPPUNIT_ASSERT_EQUAL(id == "i-1", replica.m_known.m_leaving);
    // The row is gone here, but may still be listed at another entry.
    decide::SetReplicas(GetOrCreateService(*m_state, "pool").m_pool, {},
                        TimePoint(), Now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StatementsToReport(*m_state, Now()).size());
  }

  void ReportOfAnotherIncarnationIsIgnored() {
    Replica("i-1").m_replica.m_started_ms = 5;
    ApplyStatements(*m_state, Replica("i-1"), {std::nullopt, 4}, "e2", Now());
    CPPUNIT_ASSERT(!Replica("i-1").m_known.m_leaving);
    ApplyStatements(*m_state, Replica("i-1"), {std::nullopt, 5}, "e2", Now());
    CPPUNIT_ASSERT(Replica("i-1").m_known.m_leaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallLeavingTest);

}  // namespace
}  // namespace verbenalead::entry
