#include "entry/call_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"

namespace verbenalead::entry {
namespace {

class CallServerTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallServerTest);
  CPPUNIT_TEST(DeliversAPlainAnswer);
  CPPUNIT_TEST(AStreamWithoutEventsStillHasAHead);
  CPPUNIT_TEST(ABrokenStreamGoesOnElsewhere);
  CPPUNIT_TEST(AStreamThatCannotGoOnIsNeverShownAsWhole);
  CPPUNIT_TEST(HalfAnAnswerIsNotDelivered);
  CPPUNIT_TEST(AtMostOnceIsNotSentAgainAfterABreak);
  CPPUNIT_TEST(AtMostOnceGoesOnIfItDidNotRun);
  CPPUNIT_TEST(ARefusalIsTrueAndTellsWhenToComeBack);
  CPPUNIT_TEST(AnAnswerToAnotherRequestIsNone);
  CPPUNIT_TEST(WithoutALeaseKeysAreNotJudged);
  CPPUNIT_TEST(AnUnknownKeyIsRefused);
  CPPUNIT_TEST(ARequestThatCrashesReplicasIsSetAside);
  CPPUNIT_TEST(ACallThatWaitsIsCalledBackBeforeNewWeightsBind);
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
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, InFlight());
  }

  // A caller lost its connection after the last event and goes on after it. The
  // replica answers with a stream without events; the caller once got its end
  // without a head, which no client can read.
  void AStreamWithoutEventsStillHasAHead() {
    m_replicas.m_answers = {Answer(200, {})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(1, caller.m_heads);
    CPPUNIT_ASSERT(caller.m_whole);
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.m_body);
  }

  // A replica dies in the middle of an event. The caller sees one stream with
  // each event once: another replica goes on after the last whole one.
  void ABrokenStreamGoesOnElsewhere() {
    m_replicas.m_answers = {Answer(200, {Event(1), Event(2) + "id: 3"}, true),
                            Answer(200, {Event(3), Event(4)})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3) + Event(4),
                         caller.m_body);
    CPPUNIT_ASSERT_EQUAL(1, caller.m_heads);
    CPPUNIT_ASSERT(caller.m_whole);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         wire::Get(m_replicas.m_requests.at(1).m_headers,
                                   platform::kLastEventId));
    CPPUNIT_ASSERT(Asked(0) != Asked(1));
  }

  // No replica goes on with the stream. The caller must see that it was cut.
  void AStreamThatCannotGoOnIsNeverShownAsWhole() {
    m_replicas.m_answers = {Answer(200, {Event(1)}, true),
                            Answer(200, {Event(2)}, true)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(!caller.m_whole);
  }

  // The replica breaks off half of a plain answer. An idempotent call is sent
  // again; the caller gets the second answer whole and none of the first.
  void HalfAnAnswerIsNotDelivered() {
    m_replicas.m_answers = {Answer(200, {"half"}, true),
                            Answer(200, {"whole"})};
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Call("/read/1").m_body);
  }

  // The answer to a payment is lost. Nobody knows whether it ran: it must not
  // be sent again, and the caller must not be told that it didn't run.
  void AtMostOnceIsNotSentAgainAfterABreak() {
    m_replicas.m_answers = {Broken(), Answer(200, {"second"})};
    const wire::RecordingWriter caller = Call("/pay/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(502, caller.m_status);
  }

  void AtMostOnceGoesOnIfItDidNotRun() {
    m_replicas.m_answers = {NotRun(), Answer(200, {"paid"})};
    CPPUNIT_ASSERT_EQUAL(std::string("paid"), Call("/pay/1").m_body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
  }

  void ARefusalIsTrueAndTellsWhenToComeBack() {
    const wire::RecordingWriter caller = Call("/pay/1");  // No replica answers.
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_headers.contains("retry-after"));
  }

  // A replica's answer to an earlier request comes late. It belongs to nobody
  // here and must not be delivered.
  void AnAnswerToAnotherRequestIsNone() {
    wire::ScriptedAnswer late = Answer(200, {"other"});
    late.m_head.m_headers[platform::kRequestId] = "call-0";
    m_replicas.m_answers = {late, Answer(200, {"own"})};
    CPPUNIT_ASSERT_EQUAL(std::string("own"), Call("/read/1").m_body);
    m_replicas.m_answers = {late};
    CPPUNIT_ASSERT_EQUAL(502, Call("/pay/1").m_status);
  }

  // An entry is cut off from the store for longer than its lease. Whether a key
  // or a route is still there isn't known: the caller is sent elsewhere,
  // neither served nor told that its key is wrong.
  void WithoutALeaseKeysAreNotJudged() {
    m_state->m_lease = {};
    CPPUNIT_ASSERT_EQUAL(503, Call("/read/1").m_status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/read/1", "unknown").m_status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/nowhere/1").m_status);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  void AnUnknownKeyIsRefused() {
    CPPUNIT_ASSERT_EQUAL(401, Call("/read/1", "unknown").m_status);
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/1").m_status);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
  }

  // One request breaks each replica that begins it and comes again. After three
  // replicas it is refused, and no fourth one gets it; other requests go on.
  void ARequestThatCrashesReplicasIsSetAside() {
    m_replicas.m_answers = {Broken(), Broken(), Broken(), Broken()};
    Call("/stream/bad");
    Call("/stream/bad");
    const size_t sent = m_replicas.m_requests.size();
    CPPUNIT_ASSERT_EQUAL(503, Call("/stream/bad").m_status);
    CPPUNIT_ASSERT_EQUAL(sent, m_replicas.m_requests.size());
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    CPPUNIT_ASSERT_EQUAL(Event(1), Call("/stream/good").m_body);
  }

  // A caller gets tokens of old weights after new ones bind: its call waits in
  // a replica's queue meanwhile and begins there late. The entry gives up such
  // a call when they bind, and no later; a replica with the new ones is left
  // its time.
  void ACallThatWaitsIsCalledBackBeforeNewWeightsBind() {
    model::RoutingConfig config = m_state->m_routes->config();
    model::Service service;
    service.m_name = "pool";
    service.m_engine = model::EngineProfile();
    service.m_engine->m_model = "model";
    config.m_services = {service};
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    const TimePoint binding = Now() + 200ms;
    decide::Declare(m_state->m_weights["model"], 2, binding);
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    Call("/stream/1");
    CPPUNIT_ASSERT(m_replicas.m_head_deadlines.at(0) <= binding);
    for (auto& [id, replica] : StateOf(*m_state, "pool").m_pool.m_replicas)
      replica.m_weights = 2;
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    Call("/stream/2");
    CPPUNIT_ASSERT(m_replicas.m_head_deadlines.at(1) > binding);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallServerTest);

}  // namespace
}  // namespace verbenalead::entry
