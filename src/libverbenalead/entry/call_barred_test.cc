#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/sleep.h"
#include "base/spawn.h"
#include "entry/call_fixture.h"
#include "entry/declarations.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kLearnedAfter = 60ms;
constexpr Duration kAnswerDelay = 400ms;

/// Calls that were sent before their entry learned that the weights of their
/// replica are barred.
class CallBarredTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallBarredTest);
  CPPUNIT_TEST(ACallThatWaitsAtItsReplicaIsStopped);
  CPPUNIT_TEST(AStreamWithoutItsFirstEventIsStopped);
  CPPUNIT_TEST(AStreamThatHasBegunGoesOn);
  CPPUNIT_TEST(ACallAtAReplicaWithTheNewWeightsGoesOn);
  CPPUNIT_TEST(ACallIsNotSentOnceItMustNotBegin);
  CPPUNIT_TEST(ACallNamesTheNewestWeightsThatItsReplicaIsTakenToHave);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CallFixture::setUp();
    model::RoutingConfig config = m_state->m_routes->config();
    model::Service service;
    service.m_name = "pool";
    service.m_engine = model::EngineProfile();
    service.m_engine->m_model = "model";
    config.m_services = {service};
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    SetWeights(1);
  }

  // Guards against a call that begins on barred weights, as the date of newer
  // ones was corrected while it waited at its replica.
  void ACallThatWaitsAtItsReplicaIsStopped() {
    m_replicas.m_answers = {Late(), Late()};
    LearnAfter(kLearnedAfter, kBound);
    CPPUNIT_ASSERT(Call("/stream/1").m_status != 200);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_cancelled);
    CPPUNIT_ASSERT_EQUAL(0U, CallsInFlight());
    CPPUNIT_ASSERT_EQUAL(0U, Replica(Asked(0)).m_consecutive_failures);
    CPPUNIT_ASSERT(m_state->m_unstarted_calls.empty());
  }

  // The head of an answer isn't its beginning: the first event is.
  void AStreamWithoutItsFirstEventIsStopped() {
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    m_replicas.m_answers[0].m_piece_delays[0] = kAnswerDelay;
    LearnAfter(kLearnedAfter, kBound);
    CPPUNIT_ASSERT(Call("/stream/1").m_status != 200);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_cancelled);
  }

  void AStreamThatHasBegunGoesOn() {
    m_replicas.m_answers = {Answer(200, {Event(1), Event(2)})};
    m_replicas.m_answers[0].m_piece_delays[1] = kAnswerDelay;
    LearnAfter(kLearnedAfter, kBound);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), Call("/stream/1").m_body);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_replicas.m_cancelled);
  }

  void ACallAtAReplicaWithTheNewWeightsGoesOn() {
    SetWeights(2);
    m_replicas.m_answers = {Late()};
    LearnAfter(kLearnedAfter, kBound);
    CPPUNIT_ASSERT_EQUAL(200, Call("/stream/1").m_status);
  }

  // Guards against a call that is sent at the very moment from which it must
  // not begin any more.
  void ACallIsNotSentOnceItMustNotBegin() {
    Learn(kBound);
    m_replicas.m_answers = {Answer(200, {Event(1)})};
    CPPUNIT_ASSERT(Call("/stream/1").m_status != 200);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
    CPPUNIT_ASSERT_EQUAL(0U, CallsInFlight());
  }

  // Guards against a call that begins on barred weights at a replica that has
  // lost the newer ones, which its entry doesn't know yet.
  void ACallNamesTheNewestWeightsThatItsReplicaIsTakenToHave() {
    Learn(1s);
    m_replicas.m_answers = {Answer(200, {Event(1)}), Answer(200, {Event(1)})};
    Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), ExpectedWeights(0));
    SetWeights(2);
    Call("/stream/2");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), ExpectedWeights(1));
    // It has older ones: another replica gets the call.
    m_replicas.m_answers = {NotRun(), Answer(200, {Event(1)})};
    m_replicas.m_answers[0].m_head.m_status = 421;
    CPPUNIT_ASSERT_EQUAL(200, Call("/stream/3").m_status);
    CPPUNIT_ASSERT(Asked(2) != Asked(3));
  }

 private:
  std::string ExpectedWeights(size_t number) const {
    return wire::Get(m_replicas.m_requests.at(number).m_headers,
                     platform::kExpectWeights);
  }

  static constexpr Duration kBound = 8s;

  static wire::ScriptedAnswer Late() {
    wire::ScriptedAnswer answer = Answer(200, {Event(1)});
    answer.m_head_delay = kAnswerDelay;
    return answer;
  }

  void SetWeights(uint64_t version) {
    for (auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas)
      replica.m_weights = version;
  }

  /// Learns that version 2 was declared `age` ago.
  void Learn(Duration age) {
    ApplyDeclaration(*m_state, "model", 2,
                     {BootNow() - age, true, std::nullopt}, "e2");
  }

  void LearnAfter(Duration delay, Duration age) {
    Spawn(m_io->get_executor(), LearnLater(delay, age), "learn");
  }

  Awaitable<void> LearnLater(Duration delay, Duration age) {
    co_await Sleep(delay);
    Learn(age);
    StopBarredCalls(*m_state, Now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallBarredTest);

}  // namespace
}  // namespace verbenalead::entry
