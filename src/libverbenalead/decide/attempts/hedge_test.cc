#include "decide/attempts/hedge.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace verbenalead::decide {
namespace {

model::Route MakeRoute(model::CallKind kind) {
  model::Route route;
  route.m_kind = kind;
  route.m_objective = 400ms;
  return route;
}

CallProgress StreamProgress() {
  CallProgress progress;
  progress.m_kind = model::CallKind::kStream;
  progress.m_resumable = true;
  progress.m_max_attempts = 2;
  return progress;
}

class HedgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgeTest);
  CPPUNIT_TEST(HedgesBeforeCallersLeave);
  CPPUNIT_TEST(DoesNotHedgeIfTheCallMayNotRunAgain);
  CPPUNIT_TEST(RunsStayWithinTheRoutesLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HedgesBeforeCallersLeave() {
    const model::Route route = MakeRoute(model::CallKind::kStream);
    CallProgress progress = StreamProgress();
    CPPUNIT_ASSERT(HedgeDelay(progress, route) < Duration(2s));
    progress.m_sent_attempts = progress.m_possible_runs = 1;
    progress.m_answer_begun = true;
    CPPUNIT_ASSERT(HedgeDelay(progress, route) < Duration(2s));
    CPPUNIT_ASSERT(HedgeDelay(progress, route) > Duration(500ms));
  }

  void DoesNotHedgeIfTheCallMayNotRunAgain() {
    CallProgress once;
    once.m_max_attempts = 3;
    CPPUNIT_ASSERT(!HedgeDelay(once, MakeRoute(model::CallKind::kAtMostOnce)));
    const model::Route route = MakeRoute(model::CallKind::kStream);
    CallProgress progress = StreamProgress();
    progress.m_resumable = false;
    CPPUNIT_ASSERT(!HedgeDelay(progress, route));
    // The first attempt may have run, and the second is being sent. The call
    // may run only twice, so no run is left for a hedge.
    progress = StreamProgress();
    progress.m_sent_attempts = progress.m_possible_runs = 1;
    CPPUNIT_ASSERT(!HedgeDelay(progress, route));
  }

  void RunsStayWithinTheRoutesLimit() {
    const bool held = rc::check("runs", [] {
      CallProgress progress;
      progress.m_kind = *rc::gen::element(model::CallKind::kStream,
                                          model::CallKind::kIdempotent);
      progress.m_resumable = true;
      progress.m_max_attempts = *rc::gen::inRange<uint32_t>(1, 4);
      progress.m_answer_begun = *rc::gen::arbitrary<bool>();
      progress.m_possible_runs =
          *rc::gen::inRange<uint32_t>(progress.m_answer_begun, 5);
      progress.m_sent_attempts =
          progress.m_possible_runs + *rc::gen::inRange<uint32_t>(0, 5);
      const uint32_t first = progress.m_answer_begun ? 0 : 1;
      if (HedgeDelay(progress, MakeRoute(progress.m_kind))) {
        RC_ASSERT(progress.m_possible_runs + first + 1 <=
                  progress.m_max_attempts);
        RC_ASSERT(progress.m_sent_attempts + first + 1 <= 4u);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeTest);

}  // namespace
}  // namespace verbenalead::decide
