#include "decide/rollout/load_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

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
  CPPUNIT_TEST(FewReplicasAreOutAtOnce);
  CPPUNIT_TEST(NoVersionIsSkippedForShortLoadWindow);
  CPPUNIT_TEST(VersionIsSkippedIfNewerArrivesInTime);
  CPPUNIT_TEST(OlderVersionIsLoadedWhileOriginIsDown);
  CPPUNIT_TEST(SoonUnusableVersionIsSkipped);
  CPPUNIT_TEST(GivenUpVersionIsNotLoaded);
  CPPUNIT_TEST(FullPoolDrainsForLessTime);
  CPPUNIT_TEST(ReplicasLoadAtDistinctTimesBeforeBound);
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

  // Guards against too many replicas being out of service at once: 27 replicas
  // load one after the other, each out of service for a second, at three
  // quarters of the capacity of the pool. When the loads began within 2.8 s,
  // ten replicas were out of service at once and half of the calls were late.
  // No more than seven may be out at once.
  void FewReplicasAreOutAtOnce() {
    constexpr size_t kReplicas = 27;
    constexpr size_t kMostOut = kReplicas / 4 + 1;
    std::vector<std::string> replicas;
    for (size_t i = 0; i < kReplicas; ++i)
      replicas.push_back("r" + std::to_string(i));
    const auto plan = PlanLoad(kTimes, {{2, Declared(0s, 3300ms)}}, 1);
    std::vector<TimePoint> load_times;
    for (const std::string& replica : replicas)
      load_times.push_back(ScheduledLoadTime(*plan, replica, replicas));
    for (const TimePoint load_time : load_times) {
      const auto out = static_cast<size_t>(std::count_if(
          load_times.begin(), load_times.end(), [load_time](TimePoint other) {
            return other <= load_time && load_time < other + 1s;
          }));
      CPPUNIT_ASSERT(out <= kMostOut);
    }
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

  void FullPoolDrainsForLessTime() {
    CPPUNIT_ASSERT(DrainTime(0.5) == DrainTime(0.8));
    CPPUNIT_ASSERT(DrainTime(0.8) > DrainTime(0.9));
    CPPUNIT_ASSERT(DrainTime(0.9) > DrainTime(1));
    CPPUNIT_ASSERT(DrainTime(1) == DrainTime(1.2));
    CPPUNIT_ASSERT(DrainTime(1) > Duration());
  }

  // Each host computes its load time from the same list. For any number of
  // replicas, all load times must differ and must not be later than the bound.
  void ReplicasLoadAtDistinctTimesBeforeBound() {
    const bool held = rc::check("turns", [] {
      const size_t count = *rc::gen::inRange<size_t>(2, 60);
      std::vector<std::string> replicas;
      for (size_t i = 0; i < count; ++i)
        replicas.push_back("r" + std::to_string(i));
      const auto plan = PlanLoad(kTimes, {{2, Declared(0s, 3s)}}, 1);
      std::map<TimePoint, int> load_times;
      for (const std::string& replica : replicas) {
        const TimePoint load_time = ScheduledLoadTime(*plan, replica, replicas);
        RC_ASSERT(load_time <= kStart + kTimes.m_bound);
        RC_ASSERT(++load_times[load_time] == 1);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace
}  // namespace verbenalead::decide
