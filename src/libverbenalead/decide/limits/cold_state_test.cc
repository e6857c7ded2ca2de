#include "decide/limits/cold_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
const ColdLimits kLimits = {14, 1.5, 5};

class ColdStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdStateTest);
  CPPUNIT_TEST(NewerRowGoesBeforeAnOlderOne);
  CPPUNIT_TEST(RowReadAgainDoesNotProlongTheColdTime);
  CPPUNIT_TEST(RowFromBeforeAnAnswerDoesNotEndTheColdTime);
  CPPUNIT_TEST(ReportsThatArePassedOnDoNotProlongTheColdTime);
  CPPUNIT_TEST(OnlyANewerRowEndsAPresumedColdTime);
  CPPUNIT_TEST(AnswerEndsAColdTime);
  CPPUNIT_TEST(AbsurdTimesAndRatesAreInvalid);
  CPPUNIT_TEST(LesserOfBothLimitsHoldsWhileCold);
  CPPUNIT_TEST(BucketLeavesRoomForCallsUnderWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a relayed older row that ends the cold time of a replica
  // that has become cold again.
  void NewerRowGoesBeforeAnOlderOne() {
    ColdState state;
    CPPUNIT_ASSERT(MergeCold(state, Row(5s, 8, kStart), kStart));
    CPPUNIT_ASSERT(!MergeCold(state, Row(0s, 7, kStart + 1s), kStart + 1s));
    CPPUNIT_ASSERT(IsCold(state, kStart + 4s));
    CPPUNIT_ASSERT(MergeCold(state, Row(0s, 9, kStart + 1s), kStart + 1s));
    CPPUNIT_ASSERT(!IsCold(state, kStart + 1s));
  }

  // Guards against a replica that stays cold, as its time counts anew each time
  // that its row is read.
  void RowReadAgainDoesNotProlongTheColdTime() {
    ColdState state;
    MergeCold(state, Row(5s, 8, kStart), kStart);
    MergeCold(state, Row(5s, 8, kStart + 4s), kStart + 4s);
    CPPUNIT_ASSERT(!IsCold(state, kStart + 5s));
  }

  // Guards against a replica that has said in an answer that it is cold again
  // and is then sent calls freely, since a row arrives that was written before.
  // The row that is read again later is as old.
  void RowFromBeforeAnAnswerDoesNotEndTheColdTime() {
    ColdState state;
    MergeCold(state, Row(0s, 8, kStart), kStart);
    MergeCold(state, ColdByAnswer(9s, kStart + 1s), kStart + 1s);
    MergeCold(state, Row(0s, 9, kStart + 2s), kStart + 2s);
    CPPUNIT_ASSERT(IsCold(state, kStart + 4s));
    MergeCold(state, Row(0s, 9, kStart + 4s), kStart + 4s);
    CPPUNIT_ASSERT(IsCold(state, kStart + 4s));
    MergeCold(state, Row(0s, 10, kStart + 4s), kStart + 4s);
    CPPUNIT_ASSERT(!IsCold(state, kStart + 4s));
  }

  // Guards against a cold time that two processes prolong by passing it back
  // and forth, as each transmission makes its end a little later.
  void ReportsThatArePassedOnDoNotProlongTheColdTime() {
    ColdState a;
    ColdState b;
    MergeCold(a, ColdByAnswer(3s, kStart), kStart);
    TimePoint now = kStart;
    for (int i = 0; i < 200; ++i) {
      now += 10ms;
      for (ColdState* receiver : {&b, &a}) {
        ColdState report = receiver == &b ? a : b;
        report.m_until += 3ms;
        report.m_observed_at += 3ms;
        MergeCold(*receiver, report, now);
      }
    }
    CPPUNIT_ASSERT(!IsCold(a, kStart + 3s + kSameColdEnd));
    CPPUNIT_ASSERT(!IsCold(b, kStart + 3s + kSameColdEnd));
  }

  // Guards against a row from before the end of an evacuation that lets all
  // calls go to a replica that has become cold meanwhile.
  void OnlyANewerRowEndsAPresumedColdTime() {
    ColdState state;
    MergeCold(state, Row(0s, 5, kStart), kStart);
    CPPUNIT_ASSERT(MergeCold(state, PresumedCold(8s, {0, 7}, kStart), kStart));
    CPPUNIT_ASSERT(!MergeCold(state, Row(0s, 6, kStart + 1s), kStart + 1s));
    CPPUNIT_ASSERT(IsCold(state, kStart + 2s));
    CPPUNIT_ASSERT(MergeCold(state, Row(0s, 8, kStart + 2s), kStart + 2s));
    // A presumption that another process reports late changes nothing.
    CPPUNIT_ASSERT(
        !MergeCold(state, PresumedCold(8s, {0, 7}, kStart + 3s), kStart + 3s));
    CPPUNIT_ASSERT(!IsCold(state, kStart + 3s));
  }

  void AnswerEndsAColdTime() {
    ColdState state;
    MergeCold(state, Row(9s, 5, kStart), kStart);
    CPPUNIT_ASSERT(
        MergeCold(state, ColdByAnswer(0s, kStart + 1s), kStart + 1s));
    CPPUNIT_ASSERT(!IsCold(state, kStart + 1s));
    CPPUNIT_ASSERT(state.m_was_cold);
  }

  // Guards against a mistaken figure that keeps a replica unused for hours.
  void AbsurdTimesAndRatesAreInvalid() {
    for (const Duration left : {Duration(-1), Duration(kMaxColdTime + 1ms)})
      CPPUNIT_ASSERT(!IsValidColdTime(left));
    for (const Duration left : {Duration(), Duration(kMaxColdTime)})
      CPPUNIT_ASSERT(IsValidColdTime(left));
    for (const double rate : {-1.0, 0.0, 1e300})
      CPPUNIT_ASSERT(!IsValidColdRate(rate));
    ColdState cold = ColdByAnswer(9s, kStart);
    CPPUNIT_ASSERT(EffectiveLimit(std::nullopt, cold, {}, kStart) ==
                   GateLimit());
  }

  void LesserOfBothLimitsHoldsWhileCold() {
    const ColdState cold = ColdByAnswer(9s, kStart);
    const auto rate = [&](std::optional<double> stated, TimePoint now) {
      return EffectiveLimit(stated, cold, kLimits, now).m_rate;
    };
    CPPUNIT_ASSERT(rate(std::nullopt, kStart) == 14);
    CPPUNIT_ASSERT(rate(2, kStart) == 2);
    CPPUNIT_ASSERT(rate(30, kStart) == 14);
    CPPUNIT_ASSERT(rate(30, kStart + 9s) == 30);
    CPPUNIT_ASSERT(!rate(std::nullopt, kStart + 9s));
  }

  // Guards against settings under which a full bucket, its refill and the calls
  // under way exceed the calls of a second.
  void BucketLeavesRoomForCallsUnderWay() {
    const ColdState cold = ColdByAnswer(9s, kStart);
    for (const ColdLimits& limits : {ColdLimits{14, 1.5, 5}, ColdLimits{14},
                                     ColdLimits{1, 1, 2}, ColdLimits{80, 2}}) {
      const GateLimit limit =
          EffectiveLimit(std::nullopt, cold, limits, kStart);
      const double calls = limits.m_rate * limits.m_overrun + limits.m_slack;
      CPPUNIT_ASSERT(*limit.m_size >= 1);
      CPPUNIT_ASSERT(*limit.m_size + 1.1 * *limit.m_rate <= calls + 1e-9);
    }
  }

 private:
  static ColdState Row(Duration left, uint64_t revision, TimePoint now) {
    return ColdByRow(left, {0, revision}, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStateTest);

}  // namespace
}  // namespace verbenalead::decide
