#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "decide/placement/fake_pool.h"

namespace verbenalead::decide {
namespace {

using fake::CallRecord;
using fake::FakePool;
using fake::PoolSettings;

constexpr uint32_t kTokens = 50;
const TimePoint kStart{};

model::Call MakeCall(const std::string& organisation,
                     int urgency,
                     Duration timeout) {
  model::CallBuilder builder;
  builder.Organisation(organisation).Urgency(urgency).ExpectedTokens(kTokens);
  return builder.Deadline(kStart + timeout).Build();
}

model::TargetReport OpenTarget(const std::string& name, uint32_t running) {
  model::TargetReport report;
  report.m_name = name;
  report.m_incarnation = 1;
  report.m_capacity = 8;
  report.m_running = running;
  report.m_open = true;
  return report;
}

/// Returns a pool with `calls` calls scheduled evenly over `seconds`; `make`
/// builds each call from its number.
template <typename Make>
FakePool RunCalls(PoolSettings settings, int calls, int seconds, Make&& make) {
  FakePool pool(settings);
  for (int i = 0; i < calls; ++i)
    pool.Add(Duration(1s) * seconds * i / calls, make(i), 1s);
  return pool;
}

struct OnTimeCalls {
  int m_calls = 0;
  int m_on_time = 0;
};

/// The calls of an organisation that sends a fortieth of the pool's capacity,
/// 800 calls per second, while another one sends four times the capacity.
OnTimeCalls SmallCallsBesideOverload(const PoolSettings& settings) {
  constexpr int kCallsPerSmallCall = 161;
  constexpr int kSmallCalls = 160;
  FakePool pool =
      RunCalls(settings, kCallsPerSmallCall * kSmallCalls, 8, [](int i) {
        model::CallBuilder builder;
        builder.Organisation(i % kCallsPerSmallCall == 0 ? "small" : "large");
        return builder.ExpectedTokens(kTokens);
      });
  pool.Run(20s);
  OnTimeCalls small;
  for (const CallRecord& record : pool.records()) {
    if (record.m_call.organisation() != "small")
      continue;
    ++small.m_calls;
    small.m_on_time += record.on_time() ? 1 : 0;
  }
  return small;
}

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(OverloadLeavesOthersTheirShare);
  CPPUNIT_TEST(UrgentGoesFirstWithinItsOrganisation);
  CPPUNIT_TEST(UnmeetableDeadlineIsRefusedOnArrival);
  CPPUNIT_TEST(NothingWaitsPastItsDeadline);
  CPPUNIT_TEST(EveryCallEndsExactlyOnce);
  CPPUNIT_TEST(SlowTargetIsEjectedAndReinstated);
  CPPUNIT_TEST(AllEjectedStillUsesOne);
  CPPUNIT_TEST(RecentAnswerIsNotCountedAsLoad);
  CPPUNIT_TEST(LeavingNeverReverts);
  CPPUNIT_TEST(PrefixMapsToSameTargetAtEveryEntry);
  CPPUNIT_TEST(LateEvictionKeepsRenewedPrefix);
  CPPUNIT_TEST(RetriesAreLimitedInOutage);
  CPPUNIT_TEST(RetriesOnlyWhatIsSafe);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an organisation that uses the whole capacity of the pool and
  // so delays the calls of another one. The large organisation sends four times
  // as many calls as the pool can run, the small one a fortieth of that; the
  // calls of the small one must be on time. Without admission they are not.
  void OverloadLeavesOthersTheirShare() {
    PoolSettings settings;
    const OnTimeCalls admitted = SmallCallsBesideOverload(settings);
    CPPUNIT_ASSERT(admitted.m_calls >= 160);
    CPPUNIT_ASSERT(admitted.m_on_time >= admitted.m_calls * 98 / 100);
    settings.m_admission = false;
    const OnTimeCalls unordered = SmallCallsBesideOverload(settings);
    CPPUNIT_ASSERT(unordered.m_on_time < unordered.m_calls / 2);
  }

  void UrgentGoesFirstWithinItsOrganisation() {
    AdmissionState state;
    UpdateCapacity(state, 1, kStart);
    CallArrived(state, 1, MakeCall("a", 3, 9s), kStart);
    CallArrived(state, 2, MakeCall("a", 3, 9s), kStart);
    CallArrived(state, 3, MakeCall("a", 0, 9s), kStart);
    const auto actions = CallFinished(state, kTokens, 100ms, kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, actions.at(0).m_ticket);
  }

  // Guards against callers that wait for an answer that can't be on time. The
  // call has a timeout of 2 s, and two calls of 1 s each wait before it: it
  // must be refused on arrival, with the time after which to retry.
  void UnmeetableDeadlineIsRefusedOnArrival() {
    AdmissionState state;
    UpdateCapacity(state, 1, kStart);
    CallArrived(state, 1, MakeCall("a", 3, 9s), kStart);
    CallFinished(state, kTokens, 1s, kStart);
    CallArrived(state, 2, MakeCall("a", 3, 9s), kStart);
    CallArrived(state, 3, MakeCall("a", 3, 9s), kStart);
    CallArrived(state, 4, MakeCall("a", 3, 9s), kStart);
    const auto actions = CallArrived(state, 5, MakeCall("a", 3, 2s), kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.size());
    CPPUNIT_ASSERT(actions[0].m_kind == AdmissionAction::Kind::kRefuse);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline_cannot_be_met"),
                         actions[0].m_reason);
    CPPUNIT_ASSERT(actions[0].m_retry_after >= 1s);
  }

  // Guards against calls that stay in the queue after their deadline when all
  // targets hang, so that no call ends and none starts. The waiting call must
  // be refused at its deadline.
  void NothingWaitsPastItsDeadline() {
    AdmissionState state;
    UpdateCapacity(state, 1, kStart);
    CallArrived(state, 1, MakeCall("a", 3, 60s), kStart);
    CallArrived(state, 2, MakeCall("a", 3, 1s), kStart);
    CPPUNIT_ASSERT(UpdateCapacity(state, 1, kStart + 900ms).empty());
    const auto actions = UpdateCapacity(state, 1, kStart + 1s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, actions.at(0).m_ticket);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, state.m_waiting);
  }

  // Guards against calls with no result or two, and calls that wait past their
  // deadline, under random combinations of bursts, failed targets, slow targets
  // and long calls.
  void EveryCallEndsExactlyOnce() {
    const bool passed = rc::check("told once", [] {
      PoolSettings settings;
      settings.m_entries = *rc::gen::inRange<uint32_t>(1, 5);
      settings.m_targets = *rc::gen::inRange<uint32_t>(1, 6);
      settings.m_failed_targets = *rc::gen::inRange<uint32_t>(0, 6);
      settings.m_failed_from = 200ms;
      settings.m_slow_targets = *rc::gen::inRange<uint32_t>(0, 2);
      settings.m_seed = *rc::gen::inRange<uint64_t>(1, 1000);
      const auto gaps =
          *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 20));
      FakePool pool(settings);
      Duration at{};
      for (int gap : gaps) {
        at += std::chrono::milliseconds(gap);
        model::CallBuilder builder;
        builder.Organisation(gap % 3 == 0 ? "a" : "b").Urgency(gap % 8);
        builder.ExpectedTokens(gap == 7 ? 500 : 20);
        pool.Add(at, builder, 500ms);
      }
      pool.Run(60s);
      for (const CallRecord& record : pool.records())
        RC_ASSERT(record.m_result_count == 1u);
      RC_ASSERT(pool.worst_overdue() == 0u);
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a target that answers ten times slower than the other and
  // gets more calls because it reports itself idle. It must be ejected, and
  // reinstated after a successful probe.
  void SlowTargetIsEjectedAndReinstated() {
    TargetSelectionState state = TwoTargets();
    const model::Call call = MakeCall("a", 3, 9s);
    for (int i = 0; i < 20; ++i)
      RunAttempt(state, "fast", call, TargetFeedback::kGood, 100ms, kStart);
    for (int i = 0; i < 4; ++i)
      RunAttempt(state, "slow", call, TargetFeedback::kGood, 1s, kStart);
    Random random;
    for (int i = 0; i < 10; ++i) {
      const auto placed = ChooseTarget(state, call, {}, {}, kStart, random);
      CPPUNIT_ASSERT_EQUAL(std::string("fast"), placed->m_target);
    }
    const TimePoint later = kStart + kFirstEjection;
    const auto probe = ChooseTarget(state, call, {}, {}, later, random);
    CPPUNIT_ASSERT_EQUAL(std::string("probe"), probe->m_reason);
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), probe->m_target);
    // While the probe is in flight, no second call goes to the ejected target.
    AttemptSent(state, "slow", call, later);
    CPPUNIT_ASSERT_EQUAL(
        std::string("fast"),
        ChooseTarget(state, call, {}, {}, later, random)->m_target);
    AttemptEnded(state, "slow", call, TargetFeedback::kGood, 100ms, later);
    CPPUNIT_ASSERT_EQUAL(uint32_t{16}, UsableCapacity(state, later));
  }

  // Guards against refused calls after a failure of the entry's own link,
  // during which every target seemed broken and was ejected. Calls must be sent
  // to a target again before the ejections end.
  void AllEjectedStillUsesOne() {
    TargetSelectionState state = TwoTargets();
    const model::Call call = MakeCall("a", 0, 9s);
    RunAttempt(state, "fast", call, TargetFeedback::kBroken, 1ms, kStart);
    RunAttempt(state, "slow", call, TargetFeedback::kBroken, 1ms, kStart);
    CPPUNIT_ASSERT(UsableCapacity(state, kStart) > 0);
    Random random;
    const auto placed = ChooseTarget(state, call, {}, {}, kStart, random);
    CPPUNIT_ASSERT(placed.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("all_ejected"), placed->m_reason);
  }

  // Guards against the refusal of a call that is sent right after the answer to
  // the previous one. The target's gate may still count the previous attempt;
  // with a limit of 0 running calls, it would refuse the new one, and a pool of
  // one target has no other.
  void RecentAnswerIsNotCountedAsLoad() {
    TargetSelectionState state;
    const model::Call call = MakeCall("a", 3, 9s);
    Random random;
    ApplyReport(state, OpenTarget("t", 0), kStart);
    RunAttempt(state, "t", call, TargetFeedback::kGood, 100ms, kStart);
    CPPUNIT_ASSERT_EQUAL(
        UINT32_MAX,
        ChooseTarget(state, call, {}, {}, kStart, random)->m_max_running);
    ApplyReport(state, OpenTarget("u", 0), kStart);
    const auto placed = ChooseTarget(state, call, {}, {}, kStart, random);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, placed->m_max_running);
  }

  void LeavingNeverReverts() {
    TargetSelectionState state;
    model::TargetReport report = OpenTarget("t", 0);
    report.m_leaving = true;
    ApplyReport(state, report, kStart);
    report.m_leaving = false;
    ApplyReport(state, report, kStart);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, UsableCapacity(state, kStart));
    report.m_incarnation = 2;
    ApplyReport(state, report, kStart);
    CPPUNIT_ASSERT_EQUAL(uint32_t{8}, UsableCapacity(state, kStart));
  }

  void PrefixMapsToSameTargetAtEveryEntry() {
    for (uint64_t prefix = 1; prefix < 50; ++prefix) {
      std::set<std::string> chosen;
      for (uint32_t entry = 0; entry < 4; ++entry) {
        TargetSelectionState state;
        // Entries receive the reports in different orders and with different
        // loads.
        for (uint32_t i = 0; i < 5; ++i)
          ApplyReport(state,
                      OpenTarget("t" + std::to_string((i + entry) % 5), entry),
                      kStart);
        Random random(entry + 1);
        model::CallBuilder builder;
        const auto call = builder.Prefix(prefix).ExpectedTokens(1).Build();
        chosen.insert(
            ChooseTarget(state, call, {}, {}, kStart, random)->m_target);
      }
      CPPUNIT_ASSERT_EQUAL(size_t{1}, chosen.size());
    }
  }

  // Guards against late cache events: an eviction before the last use of the
  // prefix at the target must not remove the entry that this use has renewed.
  void LateEvictionKeepsRenewedPrefix() {
    PrefixIndex index;
    RecordPrefix(index, 7, 1, kStart + 2s);
    RecordEviction(index, 7, 1, kStart + 1s);
    CPPUNIT_ASSERT(HasPrefix(FindHolders(index, 7), 1, kStart + 3s));
    RecordEviction(index, 7, 1, kStart + 3s);
    CPPUNIT_ASSERT(!HasPrefix(FindHolders(index, 7), 1, kStart + 3s));
    RecordPrefix(index, 7, 1, kStart + 3s);
    CPPUNIT_ASSERT(
        !HasPrefix(FindHolders(index, 7), 1, kStart + 4s + kPrefixLifetime));
  }

  // Guards against an overload of the working half of a pool by retries: the
  // other half breaks every call, and each broken call may be sent to two more
  // targets.
  void RetriesAreLimitedInOutage() {
    RetryBudget budget;
    const model::Call call = MakeCall("a", 3, 9s);
    FinishedAttempt broken;
    broken.m_end = AttemptVerdict::kNotRun;
    int attempts = 0;
    constexpr int kCalls = 2000;
    for (int i = 0; i < kCalls; ++i) {
      CountFirstAttempt(budget);
      broken.m_number = 1;
      ++attempts;
      while (DecideRetry(call, broken, budget, kStart).m_retry) {
        ++attempts;
        ++broken.m_number;
      }
    }
    CPPUNIT_ASSERT(attempts <= kCalls * 11 / 10);
  }

  void RetriesOnlyWhatIsSafe() {
    RetryBudget budget;
    const model::Call call = MakeCall("a", 3, 9s);
    model::CallBuilder builder;
    const auto not_idempotent =
        builder.NotIdempotent("k").Deadline(kStart + 9s).Build();
    FinishedAttempt attempt;
    CPPUNIT_ASSERT(DecideRetry(call, attempt, budget, kStart).m_retry);
    const auto decision = DecideRetry(not_idempotent, attempt, budget, kStart);
    CPPUNIT_ASSERT(!decision.m_retry);
    CPPUNIT_ASSERT(decision.m_outcome == model::Outcome::kUnknown);
    attempt.m_answer_started = true;
    CPPUNIT_ASSERT(!DecideRetry(call, attempt, budget, kStart).m_retry);
    attempt = {AttemptVerdict::kNotRun, kMaxAttempts};
    CPPUNIT_ASSERT(!DecideRetry(call, attempt, budget, kStart).m_retry);
  }

 private:
  static TargetSelectionState TwoTargets() {
    TargetSelectionState state;
    ApplyReport(state, OpenTarget("fast", 4), kStart);
    ApplyReport(state, OpenTarget("slow", 0), kStart);
    return state;
  }

  static void RunAttempt(TargetSelectionState& state,
                         const std::string& target,
                         const model::Call& call,
                         TargetFeedback feedback,
                         Duration elapsed,
                         TimePoint now) {
    AttemptSent(state, target, call, now);
    AttemptEnded(state, target, call, feedback, elapsed, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace
}  // namespace verbenalead::decide
