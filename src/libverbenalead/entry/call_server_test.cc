#include "entry/call_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"
#include "entry/row_applier.h"

namespace verbenalead::entry {
namespace {

class CallServerTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallServerTest);
  CPPUNIT_TEST(DeliversAPlainAnswer);
  CPPUNIT_TEST(AStreamWithoutEventsStillHasAHead);
  CPPUNIT_TEST(BrokenStreamResumesAtAnotherReplica);
  CPPUNIT_TEST(CutStreamIsNotReportedAsComplete);
  CPPUNIT_TEST(PartialAnswerIsNotDelivered);
  CPPUNIT_TEST(AtMostOnceIsNotRetriedAfterABreak);
  CPPUNIT_TEST(AtMostOnceIsRetriedIfItDidNotRun);
  CPPUNIT_TEST(RetryIsCountedOnceItsFateIsKnown);
  CPPUNIT_TEST(RefusalHasStatusAndRetryAfter);
  CPPUNIT_TEST(AnswerToAnotherRequestIsDropped);
  CPPUNIT_TEST(SuccessWithoutSignatureOrIdIsNoAnswer);
  CPPUNIT_TEST(FailureWithoutSignatureIsDelivered);
  CPPUNIT_TEST(WithoutALeaseCallsAreUnavailable);
  CPPUNIT_TEST(UnknownKeyOrRouteIsRefused);
  CPPUNIT_TEST(RequestThatCrashesReplicasIsQuarantined);
  CPPUNIT_TEST(QueuedCallIsCancelledBeforeNewWeightsBind);
  CPPUNIT_TEST(LateDeclarationCancelsQueuedCallInTime);
  CPPUNIT_TEST(RefusalDuringLoadsNamesTheirEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeliversAPlainAnswer() {
    m_replicas.m_answers = {Answer(200, {"he", "llo"})};
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), caller.m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"),
                         wire::Get(m_replicas.m_requests.at(0).m_headers,
                                   platform::kOrganisation));
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, CallsInFlight());
  }

  // A caller that lost its connection after the last event resumes from there,
  // and the replica answers with a stream without events. Guards against ending
  // the caller's response without a head, which no client can parse.
  void AStreamWithoutEventsStillHasAHead() {
    m_replicas.m_answers = {Answer(200, {})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(1, caller.m_head_count);
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.m_body);
  }

  // A replica dies in the middle of an event. Another replica resumes after the
  // last complete event, and the caller gets one stream with each event once.
  void BrokenStreamResumesAtAnotherReplica() {
    m_replicas.m_answers = {Answer(200, {Event(1), Event(2) + "id: 3"}, true),
                            Answer(200, {Event(3), Event(4)})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3) + Event(4),
                         caller.m_body);
    CPPUNIT_ASSERT_EQUAL(1, caller.m_head_count);
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         wire::Get(m_replicas.m_requests.at(1).m_headers,
                                   platform::kLastEventId));
    CPPUNIT_ASSERT(Asked(0) != Asked(1));
  }

  // No replica completes the stream. The caller must be able to see that the
  // stream was cut off.
  void CutStreamIsNotReportedAsComplete() {
    m_replicas.m_answers = {Answer(200, {Event(1)}, true),
                            Answer(200, {Event(2)}, true)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(!caller.m_complete);
  }

  // The replica breaks off in the middle of a plain answer. The idempotent call
  // is retried; the caller gets the whole second answer and nothing of the
  // first.
  void PartialAnswerIsNotDelivered() {
    m_replicas.m_answers = {Answer(200, {"half"}, true),
                            Answer(200, {"whole"})};
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Call("/read/1").m_body);
  }

  // The answer to an at-most-once call is lost, so it isn't known whether the
  // call ran. It must not be retried, and the caller must not get a response
  // that says it didn't run.
  void AtMostOnceIsNotRetriedAfterABreak() {
    m_replicas.m_answers = {Broken(), Answer(200, {"second"})};
    const wire::RecordingWriter caller = Call("/pay/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(502, caller.m_status);
  }

  void AtMostOnceIsRetriedIfItDidNotRun() {
    m_replicas.m_answers = {NotRun(), Answer(200, {"paid"})};
    CPPUNIT_ASSERT_EQUAL(std::string("paid"), Call("/pay/1").m_body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
  }

  void RetryIsCountedOnceItsFateIsKnown() {
    m_replicas.m_answers = {NotRun(), Answer(200, {"paid"})};
    Call("/pay/1");
    const auto& window = GetOrCreateService(*m_state, "pool").m_retries;
    uint32_t counted = 0;
    for (const auto& interval : window.m_intervals)
      counted += interval.m_retries;
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, window.m_pending);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, counted);
  }

  void RefusalHasStatusAndRetryAfter() {
    const wire::RecordingWriter caller = Call("/pay/1");  // No replica answers.
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_headers.contains("retry-after"));
  }

  // A replica's answer to an earlier request arrives on the connection of a
  // later one. It must not be delivered.
  void AnswerToAnotherRequestIsDropped() {
    wire::ScriptedAnswer late = Answer(200, {"other"});
    late.m_head.m_headers[platform::kRequestId] = "call-0";
    m_replicas.m_answers = {late, Answer(200, {"own"})};
    CPPUNIT_ASSERT_EQUAL(std::string("own"), Call("/read/1").m_body);
    m_replicas.m_answers = {late};
    CPPUNIT_ASSERT_EQUAL(502, Call("/pay/1").m_status);
  }

  // Guards against bytes of a replica in trouble delivered as its answer.
  void SuccessWithoutSignatureOrIdIsNoAnswer() {
    for (const char* field : {platform::kStamp, platform::kRequestId}) {
      for (const char* path : {"/read/1", "/stream/1"}) {
        wire::ScriptedAnswer odd = Answer(200, {Event(1)});
        odd.m_head.m_headers.erase(field);
        odd.m_head.m_headers[platform::kWeightVersion] = "99";
        m_replicas.m_answers = {odd, Answer(200, {Event(2)})};
        CPPUNIT_ASSERT_EQUAL(Event(2), Call(path).m_body);
        m_replicas.m_answers = {odd};
        CPPUNIT_ASSERT(Call("/pay/1").m_status >= 502);
      }
    }
    CPPUNIT_ASSERT(m_state->m_crashes.m_crashes.empty());
    for (const auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas)
      CPPUNIT_ASSERT(replica.m_weights < 99);
  }

  // Guards against a failure of the replica that is lost: it isn't signed.
  void FailureWithoutSignatureIsDelivered() {
    wire::ScriptedAnswer failure = Answer(404, {"none"});
    failure.m_head.m_headers.clear();
    m_replicas.m_answers = {failure};
    CPPUNIT_ASSERT_EQUAL(404, Call("/pay/1").m_status);
  }

  // An entry is cut off from the store for longer than its lease, so it isn't
  // known whether a key or a route still exists. The caller gets a 503 and can
  // go to another entry; it is neither served nor rejected for its key.
  void WithoutALeaseCallsAreUnavailable() {
    m_state->m_lease = {};
    CPPUNIT_ASSERT_EQUAL(503, Call("/read/1").m_status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/read/1", "unknown").m_status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/nowhere/1").m_status);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  void UnknownKeyOrRouteIsRefused() {
    CPPUNIT_ASSERT_EQUAL(401, Call("/read/1", "unknown").m_status);
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/1").m_status);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  // One request crashes each replica that runs it, and its caller retries it.
  // After three replicas it is refused without reaching a fourth; other
  // requests are still served.
  void RequestThatCrashesReplicasIsQuarantined() {
    m_replicas.m_answers = {Broken(), Broken(), Broken(), Broken()};
    Call("/stream/bad");
    Call("/stream/bad");
    const size_t sent = m_replicas.m_requests.size();
    CPPUNIT_ASSERT_EQUAL(503, Call("/stream/bad").m_status);
    CPPUNIT_ASSERT_EQUAL(sent, m_replicas.m_requests.size());
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    CPPUNIT_ASSERT_EQUAL(Event(1), Call("/stream/good").m_body);
  }

  // A call that waits in a replica's queue starts after new weights became
  // mandatory, and its caller gets tokens of the old weights. The entry must
  // cancel such a call by the time at which the new weights bind. A replica
  // that has the new weights gets the call's full time.
  void QueuedCallIsCancelledBeforeNewWeightsBind() {
    UseModel();
    const TimePoint binding = Now() + 200ms;
    decide::Declare(m_state->m_weights["model"], 2, {}, binding);
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    Call("/stream/1");
    CPPUNIT_ASSERT(m_replicas.m_head_deadlines.at(0) <= binding);
    for (auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas)
      replica.m_weights = 2;
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    Call("/stream/2");
    CPPUNIT_ASSERT(m_replicas.m_head_deadlines.at(1) > binding);
  }

  // Guards against calls that begin on older weights after the bound: this
  // entry receives the declaration 7.5 s late, 0.5 s before the bound. A call
  // that waits in a replica's queue then, and its retry, must be cancelled 0.3
  // s before the bound.
  void LateDeclarationCancelsQueuedCallInTime() {
    UseModel();
    links::RelayedRows relayed;
    relayed.m_rows.m_rows = {
        {"version/model", R"({"model":"model","version":2})", {0, 7}, false}};
    relayed.m_max_ages["version/model"] = 7500ms;
    RowApplier(*m_state).ApplyRelayedOperatorRows(relayed);
    const TimePoint bound = Now() + 500ms;
    m_replicas.m_answers = {Silent(), Silent()};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT(caller.m_status != 200);
    CPPUNIT_ASSERT(!m_replicas.m_head_deadlines.empty());
    for (const TimePoint deadline : m_replicas.m_head_deadlines)
      CPPUNIT_ASSERT(deadline <= bound - 300ms);
  }

  // Guards against callers that come back while all replicas still load weights
  // or seconds after the loads have ended.
  void RefusalDuringLoadsNamesTheirEnd() {
    UseModel();
    for (auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas) {
      replica.m_loading_since = Now();
      replica.m_loading_until = Now() + 5s;
    }
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("loading") != std::string::npos);
    const std::string after =
        wire::Get(caller.m_headers, platform::kRetryAfter);
    CPPUNIT_ASSERT(std::stod(after) > 0 && std::stod(after) < 1);
  }

 private:
  /// Makes the service "pool" one whose replicas run a model.
  void UseModel() {
    model::RoutingConfig config = m_state->m_routes->config();
    model::Service service;
    service.m_name = "pool";
    service.m_engine = model::EngineProfile();
    service.m_engine->m_model = "model";
    config.m_services = {service};
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallServerTest);

}  // namespace
}  // namespace verbenalead::entry
