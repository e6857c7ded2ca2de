#include "decide/rollout/load_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr LoadTimes kTimes = {7300ms, 3400ms};

DeclaredVersion Declared(Duration at, Duration here) {
  return {kStart + at, kStart + here};
}

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(NoPlanWithoutNewerVersion);
  CPPUNIT_TEST(LoadsFillTimeBetweenTransferAndBound);
  CPPUNIT_TEST(NoVersionIsSkippedForShortLoadWindow);
  CPPUNIT_TEST(VersionIsSkippedIfNewerArrivesInTime);
  CPPUNIT_TEST(OlderVersionIsLoadedWhileOriginIsDown);
  CPPUNIT_TEST(SoonUnusableVersionIsSkipped);
  CPPUNIT_TEST(GivenUpVersionIsNotLoaded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoPlanWithoutNewerVersion() {
    CPPUNIT_ASSERT(!PlanLoad(kTimes, {}, 1));
    CPPUNIT_ASSERT(!PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 2));
  }

  void LoadsFillTimeBetweenTransferAndBound() {
    const auto plan = PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, plan->m_version);
    CPPUNIT_ASSERT(plan->m_first_load_at == kStart + 3s);
    CPPUNIT_ASSERT(plan->m_last_load_at == kStart + 7300ms);
  }

  // Guards against half of the replicas being out of service at once: an older
  // version is skipped for a newer one that is complete only just before the
  // older one becomes binding. The older one must also be loaded if less than
  // two seconds would be left for the newer one.
  void NoVersionIsSkippedForShortLoadWindow() {
    const std::map<uint64_t, DeclaredVersion> declared = {
        {2, Declared(0s, 3s)}, {3, Declared(2800ms, 6200ms)}};
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, PlanLoad(kTimes, declared, 1)->m_version);
  }

  void VersionIsSkippedIfNewerArrivesInTime() {
    const auto plan =
        PlanLoad(kTimes, {{2, Declared(0s, 3s)}, {3, Declared(1s, 4400ms)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, plan->m_version);
    // The bound of the older version still applies.
    CPPUNIT_ASSERT(plan->m_last_load_at == kStart + 7300ms);
  }

  // Guards against callers finding no replica for seconds: two versions are
  // declared 2 s apart, and the origin becomes unavailable in between. The
  // newer version can't arrive before the older one becomes binding, so the
  // older one has to be loaded in the meantime.
  void OlderVersionIsLoadedWhileOriginIsDown() {
    const auto plan =
        PlanLoad(kTimes, {{2, Declared(0s, 3s)}, {3, Declared(2s, 11s)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, plan->m_version);
  }

  // Guards against callers finding no replica for seven seconds: the origin was
  // unavailable during the transfer of the older of two versions, and returned
  // when the newer one was about to become binding. All replicas loaded the
  // older version, used it for half a second, and had to load again once the
  // newer one had arrived late.
  void SoonUnusableVersionIsSkipped() {
    const std::map<uint64_t, DeclaredVersion> late = {{2, Declared(0s, 8s)},
                                                      {3, Declared(2s, 11s)}};
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, PlanLoad(kTimes, late, 1)->m_version);
    const std::map<uint64_t, DeclaredVersion> in_time = {
        {2, Declared(0s, 7200ms)}, {3, Declared(2s, 11s)}};
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, PlanLoad(kTimes, in_time, 1)->m_version);
    // The newest version is loaded however late it arrives.
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2}, PlanLoad(kTimes, {{2, Declared(0s, 99s)}}, 1)->m_version);
  }

  // Guards against a plan for a version whose chunks no host fetches any more,
  // and against loads that end only after it has become binding.
  void GivenUpVersionIsNotLoaded() {
    DeclaredVersion older = Declared(0s, 3s);
    older.m_given_up = true;
    const auto plan = PlanLoad(kTimes, {{2, older}, {3, Declared(2s, 6s)}}, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, plan->m_version);
    CPPUNIT_ASSERT(plan->m_last_load_at == kStart + kTimes.m_bound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace
}  // namespace verbenalead::decide
