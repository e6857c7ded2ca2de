#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"

namespace verbenalead::entry {
namespace {

/// Longer than the silence after which an entry makes a second attempt, and
/// well below the callers' time limit.
constexpr Duration kPause = 1600ms;
/// Longer than a test takes, unless the entry wrongly waits for the silent
/// replica.
constexpr Duration kLongSilence = 5s;

wire::ScriptedAnswer WithPause(wire::ScriptedAnswer answer,
                               size_t before,
                               Duration pause) {
  answer.m_piece_delays[before] = pause;
  return answer;
}

wire::ScriptedAnswer WithLateHead(wire::ScriptedAnswer answer, Duration pause) {
  answer.m_head_delay = pause;
  return answer;
}

/// Replicas that send nothing for a while before or within an answer. Guards
/// against cutting off an answer that is only late, and against waiting for a
/// dead replica while another one could answer.
class CallHedgeTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallHedgeTest);
  CPPUNIT_TEST(PausedStreamIsCompleteWithoutAnotherFreeReplica);
  CPPUNIT_TEST(LateHeadIsAwaitedWithoutAnotherFreeReplica);
  CPPUNIT_TEST(LatePlainAnswerIsAwaitedWithoutAnotherFreeReplica);
  CPPUNIT_TEST(NonResumableStreamIsNotHedged);
  CPPUNIT_TEST(HedgeResumesAStreamWhileTheFirstIsSilent);
  CPPUNIT_TEST(HedgeAnswersWhenTheFirstSendsNoHead);
  CPPUNIT_TEST(FirstIsKeptIfItContinuesBeforeTheHedgeAnswers);
  CPPUNIT_TEST(HedgeIsKeptWhenTheFirstBreaksOff);
  CPPUNIT_TEST(CallerDisconnectEndsBothAttempts);
  CPPUNIT_TEST(HedgeWithoutASlotIsNotARetry);
  CPPUNIT_TEST(HedgeIsPendingWhileTheFirstMayArrive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PausedStreamIsCompleteWithoutAnotherFreeReplica() {
    FillAllReplicasButTheFirst();
    m_replicas.m_answers = {
        WithPause(Answer(200, {Event(1), Event(2)}), 1, kPause)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(caller.m_complete);
    AssertAllSlotsFree();
  }

  void LateHeadIsAwaitedWithoutAnotherFreeReplica() {
    FillAllReplicasButTheFirst();
    m_replicas.m_answers = {WithLateHead(Answer(200, {Event(1)}), kPause)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
    CPPUNIT_ASSERT_EQUAL(Event(1), caller.m_body);
    AssertAllSlotsFree();
  }

  void LatePlainAnswerIsAwaitedWithoutAnotherFreeReplica() {
    FillAllReplicasButTheFirst();
    m_replicas.m_answers = {WithLateHead(Answer(200, {"late"}), kPause)};
    const wire::RecordingWriter caller = Call("/read/1");
    CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("late"), caller.m_body);
    AssertAllSlotsFree();
  }

  void NonResumableStreamIsNotHedged() {
    model::RoutingConfig config = m_state->m_routes->config();
    config.m_routes[0].m_resumable = false;
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    m_replicas.m_answers = {
        WithPause(Answer(200, {Event(1), Event(2)}), 1, kPause)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_requests.size());
  }

  void HedgeResumesAStreamWhileTheFirstIsSilent() {
    m_replicas.m_answers = {
        WithPause(Answer(200, {Event(1), Event(2)}), 1, kLongSilence),
        Answer(200, {Event(2), Event(3)})};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), caller.m_body);
    CPPUNIT_ASSERT_EQUAL(1, caller.m_head_count);
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         wire::Get(m_replicas.m_requests.at(1).m_headers,
                                   platform::kLastEventId));
    CPPUNIT_ASSERT(Asked(0) != Asked(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_cancelled);
    AssertAllSlotsFree();
  }

  void HedgeAnswersWhenTheFirstSendsNoHead() {
    for (const std::string path : {"/stream/1", "/read/1"}) {
      m_replicas.m_answers = {
          WithLateHead(Answer(200, {Event(1)}), kLongSilence),
          Answer(200, {Event(1)})};
      const wire::RecordingWriter caller = Call(path);
      CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
      CPPUNIT_ASSERT_EQUAL(Event(1), caller.m_body);
      AssertAllSlotsFree();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_cancelled);
  }

  // No event is missing or duplicated, and none is a mix of both answers.
  void FirstIsKeptIfItContinuesBeforeTheHedgeAnswers() {
    m_replicas.m_answers = {
        WithPause(Answer(200, {Event(1), Event(2), Event(3)}), 1, kPause),
        WithLateHead(Answer(200, {Event(2), "id: 3\ndata: other\n\n"}),
                     kLongSilence)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), caller.m_body);
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_replicas.m_cancelled);
    AssertAllSlotsFree();
  }

  void HedgeIsKeptWhenTheFirstBreaksOff() {
    m_replicas.m_answers = {WithPause(Answer(200, {Event(1)}, true), 1, kPause),
                            WithLateHead(Answer(200, {Event(2)}), kPause)};
    const wire::RecordingWriter caller = Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), caller.m_body);
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
    AssertAllSlotsFree();
  }

  void CallerDisconnectEndsBothAttempts() {
    m_replicas.m_answers = {
        WithPause(Answer(200, {Event(1), Event(2)}), 1, kLongSilence),
        WithLateHead(Answer(200, {Event(2)}), kLongSilence)};
    const wire::RecordingWriter caller = Call("/stream/1", "key", kPause);
    CPPUNIT_ASSERT(!caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_cancelled);
    AssertAllSlotsFree();
  }

  void HedgeWithoutASlotIsNotARetry() {
    FillAllReplicasButTheFirst();
    m_replicas.m_answers = {WithLateHead(Answer(200, {Event(1)}), kPause)};
    Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, Retries().m_pending);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, CountedRetries());
  }

  // The hedge answers at once and ends the silent first attempt; until then
  // both may arrive.
  void HedgeIsPendingWhileTheFirstMayArrive() {
    m_replicas.m_answers = {WithLateHead(Answer(200, {Event(1)}), kLongSilence),
                            WithLateHead(Answer(200, {Event(1)}), kPause)};
    uint32_t pending = 0;
    boost::asio::steady_timer between(*m_io, kPause + 600ms);
    between.async_wait([&](const boost::system::error_code&) {
      pending = Retries().m_pending;
    });
    Call("/stream/1");
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, pending);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, Retries().m_pending);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, CountedRetries());
  }

 private:
  const decide::RetryWindow& Retries() {
    return GetOrCreateService(*m_state, "pool").m_retries;
  }

  uint32_t CountedRetries() {
    uint32_t retries = 0;
    for (const auto& interval : Retries().m_intervals)
      retries += interval.m_retries;
    return retries;
  }

  /// Fills all replicas but the first with calls of other entries.
  void FillAllReplicasButTheFirst() {
    auto& replicas = GetOrCreateService(*m_state, "pool").m_pool.m_replicas;
    for (auto found = std::next(replicas.begin()); found != replicas.end();
         ++found) {
      found->second.m_other_entries_calls = found->second.m_replica.m_slots;
    }
  }

  void AssertAllSlotsFree() {
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, CallsInFlight());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallHedgeTest);

}  // namespace
}  // namespace verbenalead::entry
