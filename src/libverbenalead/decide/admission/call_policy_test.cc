#include "decide/admission/call_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "decide/admission/overload_estimate.h"

namespace verbenalead::decide {
namespace {

model::Route StreamRoute() {
  model::Route route;
  route.m_kind = model::CallKind::kStream;
  route.m_objective = 400ms;
  route.m_timeout = 6s;
  route.m_resumable = true;
  route.m_max_attempts = 2;
  return route;
}

model::EngineProfile Engine() {
  model::EngineProfile engine;
  engine.m_step = 6ms;
  engine.m_stride = 6;
  engine.m_prefill_rate = 30000;
  return engine;
}

AttemptEnd AnyEnd() {
  return *rc::gen::element(AttemptEnd::kFailed, AttemptEnd::kNotRun,
                           AttemptEnd::kWrongReplica, AttemptEnd::kUnreachable,
                           AttemptEnd::kBroken, AttemptEnd::kAbandoned);
}

class CallPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallPolicyTest);
  CPPUNIT_TEST(WaitsOnlyWhileItCanBeOnTime);
  CPPUNIT_TEST(LongPromptsWaitLess);
  CPPUNIT_TEST(RetryIsLate);
  CPPUNIT_TEST(ShorterTimeoutIsNotTakenForRetry);
  CPPUNIT_TEST(AtMostOnceNeverRunsTwice);
  CPPUNIT_TEST(NoCallRunsAtMoreReplicasThanItsRouteAllows);
  CPPUNIT_TEST(RetriesAreSpreadOut);
  CPPUNIT_TEST(RetryAfterFollowsTheOverload);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitsOnlyWhileItCanBeOnTime() {
    const model::EngineProfile engine = Engine();
    model::InboundCall call;
    call.m_prompt_tokens = 3000;
    const WaitLimit limit = WaitLimitFor(StreamRoute(), &engine, call, 0s, 1);
    CPPUNIT_ASSERT(limit.m_can_be_on_time);
    // 36 ms for each of two passes, 100 ms for the prompt, 40 ms of slack.
    CPPUNIT_ASSERT_EQUAL(int64_t{188}, ToMilliseconds(limit.m_wait));
    CPPUNIT_ASSERT(WaitLimitFor(StreamRoute(), &engine, call, 0s, 0.5).m_wait ==
                   limit.m_wait / 2);
  }

  void LongPromptsWaitLess() {
    const model::EngineProfile engine = Engine();
    model::InboundCall shorter, longer;
    shorter.m_prompt_tokens = 100;
    longer.m_prompt_tokens = 4000;
    CPPUNIT_ASSERT(WaitLimitFor(StreamRoute(), &engine, longer, 0s, 1).m_wait <
                   WaitLimitFor(StreamRoute(), &engine, shorter, 0s, 1).m_wait);
  }

  void RetryIsLate() {
    const model::EngineProfile engine = Engine();
    const WaitLimit limit = WaitLimitFor(StreamRoute(), &engine, {}, 1s, 1);
    CPPUNIT_ASSERT(!limit.m_can_be_on_time);
  }

  // Guards against calls that are taken for retries because their caller has a
  // shorter time-out than others: with 5.1 s where others have 6 s, they seem
  // to have begun 0.9 s ago. They would be queued behind all other calls and
  // refused after 250 ms, though they could be on time.
  void ShorterTimeoutIsNotTakenForRetry() {
    const model::EngineProfile engine = Engine();
    for (const Duration left : {6000ms, 5600ms, 5100ms, 4800ms}) {
      const WaitLimit limit =
          WaitLimitFor(StreamRoute(), &engine, {}, MinElapsed(6s, left), 1);
      CPPUNIT_ASSERT(limit.m_can_be_on_time);
      CPPUNIT_ASSERT(limit.m_wait ==
                     WaitLimitFor(StreamRoute(), &engine, {}, 0s, 1).m_wait);
    }
    CPPUNIT_ASSERT(MinElapsed(6s, 4700ms) >= Duration(1s));
  }

  // Guards against running an at-most-once call twice, such as a payment
  // confirmation. However its attempts end, the call may only be retried while
  // no attempt can have run.
  void AtMostOnceNeverRunsTwice() {
    const bool held = rc::check("once", [] {
      CallProgress progress;
      progress.m_max_attempts = 3;
      AttemptEnd end = AnyEnd();
      do {
        ++progress.m_sent_attempts;
        if (end == AttemptEnd::kBroken || end == AttemptEnd::kFailed)
          ++progress.m_possible_runs;
        RC_ASSERT(progress.m_possible_runs <= 1u);
        const bool may_retry = MayRetry(progress, end);
        RC_ASSERT(!may_retry || progress.m_possible_runs == 0u);
        if (!may_retry)
          break;
        end = AnyEnd();
      } while (true);
    });
    CPPUNIT_ASSERT(held);
  }

  void NoCallRunsAtMoreReplicasThanItsRouteAllows() {
    const bool held = rc::check("attempts", [] {
      CallProgress progress;
      progress.m_kind = model::CallKind::kIdempotent;
      progress.m_max_attempts = *rc::gen::inRange<uint32_t>(1, 4);
      AttemptEnd end = AnyEnd();
      do {
        ++progress.m_sent_attempts;
        if (end == AttemptEnd::kBroken || end == AttemptEnd::kFailed)
          ++progress.m_possible_runs;
        RC_ASSERT(progress.m_possible_runs <= progress.m_max_attempts);
        if (!MayRetry(progress, end))
          break;
        end = AnyEnd();
      } while (true);
    });
    CPPUNIT_ASSERT(held);
  }

  void RetriesAreSpreadOut() {
    std::mt19937_64 random(1);
    Duration least = 3600s, most{};
    for (int i = 0; i < 1000; ++i) {
      const Duration after = RetryAfter(Refusal::kFull, random);
      least = std::min(least, after);
      most = std::max(most, after);
    }
    CPPUNIT_ASSERT(least >= 800ms && most <= 1900ms);
    CPPUNIT_ASSERT(most - least > 1s);
  }

  // Guards against callers that return while the queue that they were refused
  // for still stands, and against urgent ones that return last.
  void RetryAfterFollowsTheOverload() {
    std::mt19937_64 random(1);
    OverloadEstimate overload;
    const TimePoint now = TimePoint() + 3600s;
    CPPUNIT_ASSERT(!ExpectedOverload(overload, 5, now));
    for (int i = 0; i < 100; ++i) {
      NoteStart(overload, now);
      NoteRefusal(overload, now);
    }
    const auto expected = ExpectedOverload(overload, 0, now);
    CPPUNIT_ASSERT(expected && *expected == 2s);
    CPPUNIT_ASSERT(*ExpectedOverload(overload, 50, now) == 3s);
    for (int i = 0; i < 1000; ++i) {
      const Duration urgent = RetryAfterOverload(expected, 0, 3, random);
      const Duration last = RetryAfterOverload(expected, 2, 3, random);
      const Duration unknown = RetryAfterOverload(std::nullopt, 0, 0, random);
      CPPUNIT_ASSERT(urgent >= 1333ms && urgent <= 1890ms);
      CPPUNIT_ASSERT(last >= 1333ms && last <= 3s);
      CPPUNIT_ASSERT(unknown >= 800ms && unknown <= 1900ms);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPolicyTest);

}  // namespace
}  // namespace verbenalead::decide
