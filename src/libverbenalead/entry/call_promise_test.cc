#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include "entry/call_fixture.h"

namespace verbenalead::entry {
namespace {

/// Statuses that promise that a call has not run, by the callers' protocol.
constexpr std::array kPromises = {408, 421, 429, 503};
constexpr std::array kStatuses = {200, 204, 404, 408, 409, 421,
                                  429, 500, 502, 503, 504};

constexpr char kOnce[] = "/pay/1";
constexpr char kOnceWithAttempts[] = "/pay3/1";
constexpr char kStreamOnce[] = "/stream1/1";
constexpr char kIdempotent[] = "/read/1";
constexpr char kResumable[] = "/stream/1";
constexpr std::array kPaths = {kOnce, kOnceWithAttempts, kStreamOnce,
                               kIdempotent, kResumable};

bool IsPromise(int status) {
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

bool IsAtMostOnce(const std::string& path) {
  return path == kOnce || path == kOnceWithAttempts || path == kStreamOnce;
}

/// Whether the replica that gives this answer has run the call, or may have.
bool MayHaveRun(const wire::ScriptedAnswer& answer) {
  if (answer.m_failure == FailureCode::kUnreachable)
    return false;
  if (answer.m_failure)
    return true;
  return !answer.m_head.m_headers.contains(platform::kNotExecuted) &&
         answer.m_head.m_status != 421;
}

wire::ScriptedAnswer NotExecuted(int status) {
  wire::ScriptedAnswer answer = Answer(status, {});
  answer.m_head.m_headers[platform::kNotExecuted] = "1";
  return answer;
}

wire::ScriptedAnswer AnyAnswer() {
  const int kind = *rc::gen::inRange(0, 10);
  wire::ScriptedAnswer answer;
  if (kind < 2) {
    answer.m_failure =
        kind == 0 ? FailureCode::kUnreachable : FailureCode::kBroken;
    return answer;
  }
  answer = Answer(*rc::gen::elementOf(kStatuses), {});
  if (*rc::gen::arbitrary<bool>())
    answer.m_pieces = {Event(1)};
  answer.m_breaks_at_end = *rc::gen::inRange(0, 4) == 0;
  if (*rc::gen::inRange(0, 3) == 0)
    answer.m_head.m_headers.erase(platform::kStamp);
  if (*rc::gen::inRange(0, 3) == 0)
    answer.m_head.m_headers.erase(platform::kRequestId);
  if (*rc::gen::inRange(0, 3) == 0)
    answer.m_head.m_headers[platform::kNotExecuted] = "1";
  if (*rc::gen::inRange(0, 3) == 0)
    answer.m_head.m_headers["retry-after"] = "1";
  return answer;
}

/// Guards against a caller that is told that a call has not run, by its status,
/// though a replica ran it: the caller repeats it, and it runs twice.
class CallPromiseTest : public CallFixture {
  CPPUNIT_TEST_SUITE(CallPromiseTest);
  CPPUNIT_TEST(OwnStatusOfARunIsNoPromise);
  CPPUNIT_TEST(RetriedRunIsNoPromise);
  CPPUNIT_TEST(RejectionIsStillAPromise);
  CPPUNIT_TEST(OtherStatusesPassUnchanged);
  CPPUNIT_TEST(WithheldAnswerIsNotAwaited);
  CPPUNIT_TEST(HedgeWithAPromiseIsNotPromoted);
  CPPUNIT_TEST(RejectionBesideARunningHedgeIsNoPromise);
  CPPUNIT_TEST(ResumedStreamEndsWithoutThePromise);
  CPPUNIT_TEST(ReplicaThatEndsRunsWithAPromiseHasFailed);
  CPPUNIT_TEST(NoSequenceOfAnswersMakesAFalsePromise);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CallFixture::setUp();
    model::RoutingConfig config = m_state->m_routes->config();
    model::Route once = MakeRoute("/pay3/", model::CallKind::kAtMostOnce);
    once.m_max_attempts = 3;
    model::Route stream = MakeRoute("/stream1/", model::CallKind::kStream);
    stream.m_resumable = false;
    config.m_routes.push_back(once);
    config.m_routes.push_back(stream);
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
  }

  // The only replica that is asked runs the call and ends it with one of the
  // statuses, signed or not, with or without the id and a body.
  void OwnStatusOfARunIsNoPromise() {
    for (const int status : {408, 429, 503}) {
      for (const char* path : {kOnce, kOnceWithAttempts, kStreamOnce}) {
        for (const bool is_signed : {true, false}) {
          for (const bool names_call : {true, false}) {
            for (const bool has_body : {true, false}) {
              wire::ScriptedAnswer answer = Answer(status, {});
              if (!is_signed)
                answer.m_head.m_headers.erase(platform::kStamp);
              if (!names_call)
                answer.m_head.m_headers.erase(platform::kRequestId);
              if (has_body)
                answer.m_pieces = {"paid"};
              m_replicas.m_answers = {answer};
              AssertWithheld(Call(path));
            }
          }
        }
      }
    }
  }

  void RetriedRunIsNoPromise() {
    for (const int status : {408, 429, 503}) {
      Restart();
      m_replicas.m_answers = {NotExecuted(503), Answer(status, {"paid"})};
      AssertWithheld(Call(kOnceWithAttempts));
      // Both attempts of an idempotent call may have run.
      m_replicas.m_answers = {Answer(status, {}), Answer(status, {"read"})};
      AssertWithheld(Call(kIdempotent));
      m_replicas.m_answers = {Answer(status, {}), Answer(status, {"event"})};
      AssertWithheld(Call(kResumable));
      m_replicas.m_answers = {Answer(status, {}), NotExecuted(503),
                              NotExecuted(503), NotExecuted(503)};
      AssertWithheld(Call(kIdempotent));
      // The second attempt answers.
      Restart();
      m_replicas.m_answers = {Answer(status, {}), Answer(200, {"read"})};
      CPPUNIT_ASSERT_EQUAL(std::string("read"), Call(kIdempotent).m_body);
    }
  }

  void RejectionIsStillAPromise() {
    for (const int status : {408, 421, 429, 503}) {
      for (const char* path : kPaths) {
        Restart();
        m_replicas.m_answers = {NotExecuted(status), NotExecuted(status),
                                NotExecuted(status), NotExecuted(status)};
        CPPUNIT_ASSERT_EQUAL(503, Call(path).m_status);
        Restart();
        m_replicas.m_answers = {NotExecuted(status), Answer(200, {Event(1)})};
        CPPUNIT_ASSERT_EQUAL(Event(1), Call(path).m_body);
      }
    }
  }

  void OtherStatusesPassUnchanged() {
    for (const int status : {200, 404, 409, 500, 502, 504}) {
      for (const char* path : {kOnce, kOnceWithAttempts, kStreamOnce}) {
        m_replicas.m_answers = {Answer(status, {Event(1)})};
        const wire::RecordingWriter caller = Call(path);
        CPPUNIT_ASSERT_EQUAL(status, caller.m_status);
        CPPUNIT_ASSERT_EQUAL(Event(1), caller.m_body);
        CPPUNIT_ASSERT(caller.m_headers.contains(platform::kStamp));
      }
    }
  }

  // The rest of the replica's answer never comes.
  void WithheldAnswerIsNotAwaited() {
    wire::ScriptedAnswer answer = Answer(503, {"late"});
    answer.m_piece_delays[0] = 3s;
    m_replicas.m_answers = {answer};
    const TimePoint began = Now();
    AssertWithheld(Call(kOnce));
    CPPUNIT_ASSERT(Now() - began < Duration(2s));
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, CallsInFlight());
  }

  // The first replica is silent, and the second one ends its run.
  void HedgeWithAPromiseIsNotPromoted() {
    wire::ScriptedAnswer silent = Silent();
    m_replicas.m_answers = {silent, Answer(429, {"no"})};
    const wire::RecordingWriter caller = Call(kIdempotent);
    CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("late"), caller.m_body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_replicas.m_requests.size());
  }

  // The first replica rejects the call after the second one has begun to run
  // it.
  void RejectionBesideARunningHedgeIsNoPromise() {
    wire::ScriptedAnswer rejection = NotExecuted(503);
    rejection.m_head_delay = 1s;
    wire::ScriptedAnswer run = Answer(200, {"half"}, true);
    run.m_head_delay = 1500ms;
    m_replicas.m_answers = {rejection, run};
    AssertWithheld(Call(kIdempotent));
  }

  // The replica that resumes the stream ends its run with a promise, before and
  // after the caller has got an event.
  void ResumedStreamEndsWithoutThePromise() {
    for (const int status : {408, 429, 503}) {
      Restart();
      m_replicas.m_answers = {Answer(200, {}, true), Answer(status, {"no"})};
      AssertWithheld(Call(kResumable));
      m_replicas.m_answers = {Answer(200, {Event(1)}, true),
                              Answer(status, {"no"})};
      const wire::RecordingWriter caller = Call(kResumable);
      CPPUNIT_ASSERT_EQUAL(200, caller.m_status);
      CPPUNIT_ASSERT_EQUAL(Event(1), caller.m_body);
      CPPUNIT_ASSERT(!caller.m_complete);
    }
  }

  void ReplicaThatEndsRunsWithAPromiseHasFailed() {
    for (const int status : {408, 429, 500, 503}) {
      Restart();
      m_replicas.m_answers = {Answer(status, {})};
      Call(kOnce);
      CPPUNIT_ASSERT(Replica(Asked(0)).m_failure_rate > 0);
    }
  }

  void NoSequenceOfAnswersMakesAFalsePromise() {
    const bool held = rc::check("promises", [this] {
      Restart();
      const std::string path = *rc::gen::elementOf(kPaths);
      // As many as a call has attempts at most.
      std::vector<wire::ScriptedAnswer> script;
      for (size_t i = 0; i < kReplicas; ++i)
        script.push_back(AnyAnswer());
      m_replicas.m_answers = {script.begin(), script.end()};
      const wire::RecordingWriter caller = Call(path);
      const size_t used = std::min(script.size(), m_replicas.m_requests.size());
      const auto runs = std::count_if(
          script.begin(), script.begin() + static_cast<std::ptrdiff_t>(used),
          MayHaveRun);
      RC_ASSERT(caller.m_head_count == 1);
      RC_ASSERT(!IsPromise(caller.m_status) || runs == 0);
      RC_ASSERT(!IsAtMostOnce(path) || runs <= 1);
      RC_ASSERT(CallsInFlight() == 0u);
      if (!caller.m_headers.contains(platform::kStamp))
        return;
      // A signature goes with the status that a replica gave.
      RC_ASSERT(std::any_of(script.begin(),
                            script.begin() + static_cast<std::ptrdiff_t>(used),
                            [&](const wire::ScriptedAnswer& answer) {
                              return answer.m_head.m_status == caller.m_status;
                            }));
    });
    CPPUNIT_ASSERT(held);
  }

 private:
  /// Starts with replicas that nothing is known of.
  void Restart() {
    tearDown();
    m_server.reset();
    m_slot_allocator.reset();
    m_slot_requester.reset();
    m_datagrams.reset();
    m_io.reset();
    m_state.reset();
    setUp();
  }

  /// The caller got a failure of the entry that promises nothing.
  static void AssertWithheld(const wire::RecordingWriter& caller) {
    CPPUNIT_ASSERT_EQUAL(502, caller.m_status);
    CPPUNIT_ASSERT_EQUAL(1, caller.m_head_count);
    CPPUNIT_ASSERT(!caller.m_headers.contains(platform::kStamp));
    CPPUNIT_ASSERT(!caller.m_headers.contains("retry-after"));
    CPPUNIT_ASSERT_EQUAL(std::string("call-1"),
                         wire::Get(caller.m_headers, platform::kRequestId));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPromiseTest);

}  // namespace
}  // namespace verbenalead::entry
