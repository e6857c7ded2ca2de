#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"

namespace verbenalead::entry {
namespace {

constexpr uint64_t kEarlier = 1;
constexpr uint64_t kLater = 2;
/// The replicas restart while the answer is on its way.
constexpr Duration kAnswerDelay = 60ms;
constexpr Duration kRestartDelay = 20ms;

class CallIncarnationTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallIncarnationTest);
  CPPUNIT_TEST(AnswerOfTheEarlierIncarnationStatesNothingOfTheNewOne);
  CPPUNIT_TEST(CrashOfTheEarlierIncarnationIsNoFailureOfTheNewOne);
  CPPUNIT_TEST(AnswerOfTheSameIncarnationCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restarted replica that gets no calls, as an answer of the
  // process before it comes late and says that it is leaving, limited or cold.
  void AnswerOfTheEarlierIncarnationStatesNothingOfTheNewOne() {
    Start(kEarlier);
    RestartDuringTheCall();
    m_replicas.m_answers = {StatingAnswer()};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    const decide::ReplicaState& replica = Replica(Asked(0));
    CPPUNIT_ASSERT_EQUAL(kLater, replica.m_replica.m_started_ms);
    CPPUNIT_ASSERT(!replica.m_known.m_rate_limit.m_rate);
    CPPUNIT_ASSERT(!replica.m_known.m_leaving);
    CPPUNIT_ASSERT(replica.m_known.m_cold == decide::ColdState());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, replica.m_weights);
    CPPUNIT_ASSERT_EQUAL(0U, replica.m_in_flight);
  }

  // Guards against a restarted replica that is avoided, as the calls of the
  // process before it broke off when this ended.
  void CrashOfTheEarlierIncarnationIsNoFailureOfTheNewOne() {
    Start(kEarlier);
    RestartDuringTheCall();
    m_replicas.m_answers = {Broken(), Answer(200, {"ok"})};
    m_replicas.m_answers[0].m_head_delay = kAnswerDelay;
    Call("/read/1");
    const decide::ReplicaState& replica = Replica(Asked(0));
    CPPUNIT_ASSERT_EQUAL(0U, replica.m_consecutive_failures);
    CPPUNIT_ASSERT_EQUAL(0.0, replica.m_failure_rate);
    CPPUNIT_ASSERT_EQUAL(0U, replica.m_in_flight);
  }

  void AnswerOfTheSameIncarnationCounts() {
    Start(kEarlier);
    decide::SetColdLimits(GetOrCreateService(*m_state, "pool").m_pool,
                          {14, 1.5, 5}, Duration(), Now());
    m_replicas.m_answers = {StatingAnswer()};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    const decide::ReplicaState& replica = Replica(Asked(0));
    CPPUNIT_ASSERT(replica.m_known.m_leaving);
    CPPUNIT_ASSERT(decide::IsCold(replica.m_known.m_cold, Now()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, replica.m_weights);
  }

 private:
  static wire::ScriptedAnswer StatingAnswer() {
    wire::ScriptedAnswer answer = Answer(200, {"ok"});
    answer.m_head.m_headers[platform::kRateLimit] = "0";
    answer.m_head.m_headers[platform::kLeaving] = "1";
    answer.m_head.m_headers[platform::kPrefixedColdLeft] = "5000";
    answer.m_head.m_headers[platform::kWeightVersion] = "7";
    answer.m_head_delay = kAnswerDelay;
    return answer;
  }

  /// All replicas have started at `started_ms`.
  void Start(uint64_t started_ms) {
    decide::ReplicaPool& pool = GetOrCreateService(*m_state, "pool").m_pool;
    std::vector<model::Replica> replicas;
    for (const auto& [id, state] : pool.m_replicas) {
      replicas.push_back(state.m_replica);
      replicas.back().m_started_ms = started_ms;
    }
    decide::SetReplicas(pool, replicas, TimePoint(), Now());
  }

  void RestartDuringTheCall() {
    m_timer = std::make_unique<boost::asio::steady_timer>(*m_io, kRestartDelay);
    m_timer->async_wait([this](auto) { Start(kLater); });
  }

  std::unique_ptr<boost::asio::steady_timer> m_timer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallIncarnationTest);

}  // namespace
}  // namespace verbenalead::entry
