#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kLongHold = 30s;

wire::ScriptedAnswer LimitedAnswer(const std::string& limit) {
  wire::ScriptedAnswer answer = Answer(200, {"ok"});
  answer.m_head.m_headers[platform::kRateLimit] = limit;
  return answer;
}

class CallRateLimitTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallRateLimitTest);
  CPPUNIT_TEST(LimitOfAnAnswerBindsTheNextCalls);
  CPPUNIT_TEST(MalformedLimitChangesNothing);
  CPPUNIT_TEST(SignedAnswerWithoutALimitEndsIt);
  CPPUNIT_TEST(UnsignedAnswerWithoutALimitDoesNotEndIt);
  CPPUNIT_TEST(RetryDoesNotGoToAReplicaWithoutAToken);
  CPPUNIT_TEST(CallIsRefusedIfAllReplicasAreLimited);
  CPPUNIT_TEST(LimitedReplicaOfASilentTargetIsNotUsed);
  CPPUNIT_TEST(ReportsLimitsOfReplicasWithoutTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitOfAnAnswerBindsTheNextCalls() {
    m_replicas.m_answers = {LimitedAnswer("0")};
    Call("/read/1");
    const std::string limited = Asked(0);
    CPPUNIT_ASSERT(Replica(limited).m_known.m_rate_limit.m_rate == 0.0);
    for (int call = 0; call < 20; ++call) {
      m_replicas.m_answers = {Answer(200, {"ok"})};
      CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    }
    for (size_t call = 1; call < m_replicas.m_requests.size(); ++call)
      CPPUNIT_ASSERT(Asked(call) != limited);
  }

  void MalformedLimitChangesNothing() {
    m_replicas.m_answers = {LimitedAnswer("x")};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT(!Replica(Asked(0)).m_known.m_rate_limit.m_rate);
    LimitAll(1e6, Duration());
    m_replicas.m_answers = {LimitedAnswer("x")};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT(Replica(Asked(1)).m_known.m_rate_limit.m_rate == 1e6);
  }

  // Guards against a limit that is kept after the replica has recovered.
  void SignedAnswerWithoutALimitEndsIt() {
    LimitAll(1e6, Duration());
    m_replicas.m_answers = {Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT(!Replica(Asked(0)).m_known.m_rate_limit.m_rate);
  }

  void UnsignedAnswerWithoutALimitDoesNotEndIt() {
    LimitAll(1e6, Duration());
    m_replicas.m_answers = {NotRun(), NotRun(), NotRun(), NotRun()};
    Call("/read/1");
    CPPUNIT_ASSERT(Replica(Asked(0)).m_known.m_rate_limit.m_rate == 1e6);
  }

  void RetryDoesNotGoToAReplicaWithoutAToken() {
    for (const char* id : {"i-1", "i-2"})
      Limit(Replica(id), 0, kLongHold);
    m_replicas.m_answers = {NotRun(), Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
    for (size_t attempt : {0, 1})
      CPPUNIT_ASSERT(Asked(attempt) == "i-0" || Asked(attempt) == "i-3");
  }

  void CallIsRefusedIfAllReplicasAreLimited() {
    LimitAll(0, kLongHold);
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, caller.m_status);
    CPPUNIT_ASSERT(caller.m_body.find("rate_limit") != std::string::npos);
    CPPUNIT_ASSERT(m_replicas.m_requests.empty());
    const double retry_after =
        std::stod(wire::Get(caller.m_headers, "retry-after"));
    CPPUNIT_ASSERT(retry_after > 25);
  }

  // Guards against a replica that gets the calls of all entries, as each uses
  // it by its own view while the target process is gone.
  void LimitedReplicaOfASilentTargetIsNotUsed() {
    GetOrCreateService(*m_state, "pool").m_pool.m_prefill_rate = 1000;
    m_replicas.m_answers = {Answer(200, {"ok"})};
    CPPUNIT_ASSERT_EQUAL(200, Call("/read/1").m_status);
    for (int i = 0; i < 2; ++i) {
      LimitAll(1e6, Duration());
      CPPUNIT_ASSERT_EQUAL(503, Call("/read/1").m_status);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
    }
  }

  void ReportsLimitsOfReplicasWithoutTargets() {
    CPPUNIT_ASSERT(StatementsToReport(*m_state, Now()).empty());
    Limit(Replica("i-1"), 2.3, Duration());
    const auto limits = StatementsToReport(*m_state, Now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, limits.size());
    EntryState other(Options());
    decide::ReplicaPool& pool = GetOrCreateService(other, "pool").m_pool;
    pool = GetOrCreateService(*m_state, "pool").m_pool;
    pool.m_replicas.at("i-1").m_known.m_rate_limit = {};
    ApplyStatementList(other, limits, "e2", Now());
    CPPUNIT_ASSERT(pool.m_replicas.at("i-1").m_known.m_rate_limit.m_rate ==
                   2.3);
  }

 private:
  static void Limit(decide::ReplicaState& replica,
                    double rate,
                    Duration hold_off) {
    replica.m_known.m_rate_limit = {rate, Now() - 1s, true};
    decide::HoldBack(replica, hold_off, Now());
  }

  /// Gives all replicas the limit `rate`, and for `hold_off` no token. A limit
  /// of 1e6 always has one.
  void LimitAll(double rate, Duration hold_off) {
    for (auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas)
      Limit(replica, rate, hold_off);
    // The token buckets, which this entry holds, start empty.
    for (int i = 0; i < 4; ++i) {
      m_slot_requester->tokens().HandleRequest(
          Endpoint("127.0.0.1", 9),
          {"i-" + std::to_string(i), 1, {rate, Duration()}});
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallRateLimitTest);

}  // namespace
}  // namespace verbenalead::entry
