#include "decide/health/crash_causes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint64_t kBad = 1;
constexpr uint64_t kFirst = 2;
constexpr uint64_t kOther = 3;
constexpr Duration kConfirmed = CrashCauseLimits().m_confirmation;

std::string Replica(int number) {
  return "i-" + std::to_string(number);
}

/// Different requests with `parts` crash one replica each, 100 ms apart.
void CrashReplicas(CrashCauses& causes,
                   const std::vector<uint64_t>& parts,
                   int first,
                   int count,
                   bool had_head = true) {
  for (int i = first; i < first + count; ++i) {
    RecordCrash(causes, Replica(i), {static_cast<uint64_t>(i), parts, had_head},
                kStart + i * 100ms);
  }
}

bool IsBlocked(const CrashCauses& causes, uint64_t part, TimePoint now) {
  return FindBlocked(causes, {part}, now).has_value();
}

class CrashCausesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCausesTest);
  CPPUNIT_TEST(PartOfThreeCrashesIsBlocked);
  CPPUNIT_TEST(CrashCountsOnceItIsConfirmed);
  CPPUNIT_TEST(RequestsWithoutAHeadAreWeakerEvidence);
  CPPUNIT_TEST(AnsweredPartIsCleared);
  CPPUNIT_TEST(PartThatWasAnsweredBeforeNeedsMoreCrashes);
  CPPUNIT_TEST(ReplicasThatFailTogetherBlockNothing);
  CPPUNIT_TEST(ReplicaThatAnswersIsNoEvidence);
  CPPUNIT_TEST(EqualRequestsBlockNoPart);
  CPPUNIT_TEST(ExplainedCrashesCountAgainstNothingElse);
  CPPUNIT_TEST(PartsThatComeTogetherAreBlockedLater);
  CPPUNIT_TEST(SoundPartAtCrashesOfOneRequestIsNotBlocked);
  CPPUNIT_TEST(BlockEnds);
  CPPUNIT_TEST(RestartedEntryIsTold);
  CPPUNIT_TEST(ReportsMayArriveInAnyOrder);
  CPPUNIT_TEST(OnlyTheCauseIsBlocked);
  CPPUNIT_TEST(HostilePartsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PartOfThreeCrashesIsBlocked() {
    CrashCauses causes;
    for (int i = 0; i < 3; ++i)
      CrashReplicas(causes, {100u + static_cast<uint64_t>(i), kBad}, i, 1);
    const TimePoint now = kStart + 1s;
    const std::vector<BlockedPart> blocked = BlockCauses(causes, now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, blocked.size());
    CPPUNIT_ASSERT_EQUAL(kBad, blocked[0].m_part);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, blocked[0].m_incarnations.size());
    CPPUNIT_ASSERT(IsBlocked(causes, kBad, now));
    CPPUNIT_ASSERT(!IsBlocked(causes, 100, now));
  }

  void CrashCountsOnceItIsConfirmed() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad}, 0, 3);
    const TimePoint last = kStart + 200ms;
    CPPUNIT_ASSERT(BlockCauses(causes, last + kConfirmed - 1ms).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         BlockCauses(causes, last + kConfirmed).size());
  }

  void RequestsWithoutAHeadAreWeakerEvidence() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad}, 0, 4, false);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    CrashReplicas(causes, {kBad}, 4, 1, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, BlockCauses(causes, kStart + 2s).size());
  }

  // Guards against blocking what sound requests share: they come down with
  // replicas again and again, and are answered in between.
  void AnsweredPartIsCleared() {
    CrashCauses causes;
    CrashReplicas(causes, {kFirst}, 0, 4);
    RecordAnswer(causes, {kFirst}, kStart + 350ms);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    CPPUNIT_ASSERT(causes.m_suspects.empty());
  }

  void PartThatWasAnsweredBeforeNeedsMoreCrashes() {
    CrashCauses causes;
    RecordAnswer(causes, {kFirst}, kStart - 1s);
    CrashReplicas(causes, {kFirst}, 0, 4);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    CrashReplicas(causes, {kFirst}, 4, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, BlockCauses(causes, kStart + 2s).size());
  }

  // Guards against blocking a part that many requests have when a rack or a
  // data centre fails: its replicas end in the same instant.
  void ReplicasThatFailTogetherBlockNothing() {
    CrashCauses causes;
    for (int i = 0; i < 40; ++i) {
      RecordCrash(causes, Replica(i),
                  {static_cast<uint64_t>(i), {kFirst}, true}, kStart + i * 1ms);
    }
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
  }

  // Guards against taking lost answers and reset connections for crashes.
  void ReplicaThatAnswersIsNoEvidence() {
    CrashCauses causes;
    CrashReplicas(causes, {kFirst}, 0, 6);
    for (int i = 0; i < 6; ++i)
      CPPUNIT_ASSERT(RecordData(causes, Replica(i), kStart + 700ms));
    CPPUNIT_ASSERT(!RecordData(causes, Replica(0), kStart + 800ms));
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    // A crash after that is one.
    CrashReplicas(causes, {kFirst}, 20, 1);
    RecordCrash(causes, Replica(0), {50, {kFirst}, true}, kStart + 3s);
    RecordCrash(causes, Replica(1), {51, {kFirst}, true}, kStart + 4s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, BlockCauses(causes, kStart + 5s).size());
  }

  void EqualRequestsBlockNoPart() {
    CrashCauses causes;
    for (int i = 0; i < 10; ++i)
      RecordCrash(causes, Replica(i), {7, {kOther}, true}, kStart + i * 100ms);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
  }

  void ExplainedCrashesCountAgainstNothingElse() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad, kOther}, 0, 2);
    CrashReplicas(causes, {kBad}, 2, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, BlockCauses(causes, kStart + 1s).size());
    CPPUNIT_ASSERT(IsExplained(causes, Replica(0), kStart + 1s));
    // Reports of other entries that come late, and crashes of requests that
    // were on their way.
    ApplyReport(causes,
                {CrashReport::Kind::kSuspect, kOther, Replica(2), 9, true,
                 kStart + 200ms},
                kStart + 1s);
    CrashReplicas(causes, {kBad, kOther}, 6, 3);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    CPPUNIT_ASSERT(!IsBlocked(causes, kOther, kStart + 2s));
  }

  void PartsThatComeTogetherAreBlockedLater() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad, kOther}, 0, 4);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 2s).empty());
    CrashReplicas(causes, {kBad, kOther}, 4, 1);
    BlockCauses(causes, kStart + 2s);
    CPPUNIT_ASSERT(IsBlocked(causes, kBad, kStart + 2s) ||
                   IsBlocked(causes, kOther, kStart + 2s));
  }

  // A request and its retries crash three replicas; a sound request that shares
  // its other part came down with the last one.
  void SoundPartAtCrashesOfOneRequestIsNotBlocked() {
    CrashCauses causes;
    for (int i = 0; i < 3; ++i) {
      RecordCrash(causes, Replica(i), {7, {kOther, kBad}, true},
                  kStart + i * 100ms);
    }
    RecordCrash(causes, Replica(2), {8, {kOther}, true}, kStart + 200ms);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 1s).empty());
    RecordCrash(causes, Replica(3), {9, {kBad}, true}, kStart + 1s);
    BlockCauses(causes, kStart + 2s);
    CPPUNIT_ASSERT(IsBlocked(causes, kBad, kStart + 2s));
    CPPUNIT_ASSERT(!IsBlocked(causes, kOther, kStart + 2s));
  }

  void BlockEnds() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad}, 0, 3);
    BlockCauses(causes, kStart + 1s);
    const Duration lifetime = causes.m_limits.m_lifetime;
    CPPUNIT_ASSERT(IsBlocked(causes, kBad, kStart + 1s + lifetime));
    CPPUNIT_ASSERT(!IsBlocked(causes, kBad, kStart + 2s + lifetime));
    CrashCauses answered = causes;
    // A request that was on its way when the part was blocked.
    RecordAnswer(answered, {kBad}, kStart + 1500ms);
    CPPUNIT_ASSERT(!IsBlocked(answered, kBad, kStart + 2s));
    // Whoever doesn't know of the answer can't block it again.
    for (const CrashReport& report : BlockedReports(causes))
      ApplyReport(answered, report, kStart + 2s);
    CPPUNIT_ASSERT(!IsBlocked(answered, kBad, kStart + 2s));
    for (const CrashReport& report : TakeReports(answered))
      ApplyReport(causes, report, kStart + 2s);
    CPPUNIT_ASSERT(!IsBlocked(causes, kBad, kStart + 2s));
  }

  void RestartedEntryIsTold() {
    CrashCauses causes;
    CrashReplicas(causes, {kBad}, 0, 3);
    BlockCauses(causes, kStart + 1s);
    CrashCauses restarted;
    for (const CrashReport& report : BlockedReports(causes))
      ApplyReport(restarted, report, kStart + 60s);
    CPPUNIT_ASSERT(IsBlocked(restarted, kBad, kStart + 60s));
  }

  void ReportsMayArriveInAnyOrder() {
    const bool passed = rc::check("entries agree", [] {
      const auto numbers = *rc::gen::container<std::vector<uint16_t>>(
          40, rc::gen::arbitrary<uint16_t>());
      std::vector<CrashReport> reports;
      for (const uint16_t number : numbers) {
        const auto kind = number % 8 == 0   ? CrashReport::Kind::kAlive
                          : number % 8 == 1 ? CrashReport::Kind::kAnswered
                                            : CrashReport::Kind::kSuspect;
        // A process crashes once.
        const int replica = number / 32 % 16;
        const int at =
            kind == CrashReport::Kind::kSuspect ? 5 * replica : number / 512;
        reports.push_back({kind, number / 8 % 4u, Replica(replica), number / 8u,
                           number % 2 == 0, kStart + at * 100ms});
      }
      CrashCauses a, b;
      const TimePoint now = kStart + 20s;
      for (const CrashReport& report : reports)
        ApplyReport(a, report, now);
      std::shuffle(reports.begin(), reports.end(),
                   std::mt19937(numbers.front()));
      for (int twice = 0; twice < 2; ++twice) {
        for (const CrashReport& report : reports)
          ApplyReport(b, report, now);
      }
      BlockCauses(a, now);
      BlockCauses(b, now);
      std::set<uint64_t> blocked_a, blocked_b;
      for (const auto& [part, since] : a.m_blocked)
        blocked_a.insert(part);
      for (const auto& [part, since] : b.m_blocked)
        blocked_b.insert(part);
      RC_ASSERT(blocked_a == blocked_b);
    });
    CPPUNIT_ASSERT(passed);
  }

  // A pool in which a replica crashes each time the part comes, and up to eight
  // sound requests come down with it, some of which had got a head. Between
  // crashes sound requests are answered. The cause is blocked after a few
  // crashes, and nothing else ever.
  void OnlyTheCauseIsBlocked() {
    const bool passed = rc::check("only the cause", [] {
      const auto seed = *rc::gen::arbitrary<uint32_t>();
      std::mt19937 random(seed);
      CrashCauses causes;
      TimePoint now = kStart;
      const auto first_part = [&] { return 100 + random() % 60; };
      const auto rare_part = [&] { return 1000 + random() % 400; };
      int crashes_before = 0;
      for (uint64_t request = 1; request < 120; ++request) {
        now += std::chrono::milliseconds(20 + random() % 150);
        const std::string replica = Replica(static_cast<int>(request));
        const std::vector<uint64_t> bad = {first_part(), rare_part(), kBad};
        if (!FindBlocked(causes, bad, now)) {
          ++crashes_before;
          RecordCrash(causes, replica, {request, bad, true}, now);
          for (uint32_t victim = random() % 8; victim > 0; --victim) {
            RecordCrash(causes, replica,
                        {1000 * request + victim,
                         {first_part(), rare_part()},
                         random() % 3 == 0},
                        now);
          }
        }
        for (uint32_t answered = random() % 12; answered > 0; --answered)
          RecordAnswer(causes, {first_part(), rare_part()}, now);
        BlockCauses(causes, now);
        for (const auto& [part, since] : causes.m_blocked)
          RC_ASSERT(part == kBad);
      }
      RC_ASSERT(causes.m_blocked.contains(kBad));
      RC_ASSERT(crashes_before <= 25);
    });
    CPPUNIT_ASSERT(passed);
  }

  void HostilePartsAreBounded() {
    CrashCauses causes;
    for (uint64_t i = 0; i < 3 * kMaxCrashCauses; ++i) {
      RecordCrash(causes, Replica(static_cast<int>(i % 10)),
                  {i, {10 + i}, true}, kStart);
      RecordAnswer(causes, {1000000 + i}, kStart);
    }
    CPPUNIT_ASSERT(causes.m_suspects.size() <= kMaxCrashCauses);
    CPPUNIT_ASSERT(causes.m_answered.size() <= kMaxCrashCauses);
    CPPUNIT_ASSERT(causes.m_unsent.size() <= kMaxCrashCauses);
    CPPUNIT_ASSERT(BlockCauses(causes, kStart + 1s).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCausesTest);

}  // namespace
}  // namespace verbenalead::decide
