#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "decide/health/fake_crash_fleet.h"

namespace verbenalead::decide {
namespace {

/// Requests with the part that may reach replicas later than 3 s after the
/// fifth crash.
constexpr uint32_t kMaxLate = 3;
/// Sound calls that must be answered whole later on, against before.
constexpr double kLeastShare = 0.5;
/// Of 100 sound calls, those that may be refused for a part of theirs that is
/// blocked by mistake.
constexpr uint32_t kMaxRefusedPercent = 1;

CrashFleetSettings SmallFleet() {
  CrashFleetSettings settings;
  settings.m_entries = 2;
  settings.m_data_centers = 2;
  settings.m_replicas = 4;
  settings.m_calls_per_second = 6;
  settings.m_first_parts = 6;
  settings.m_second_parts = 20;
  settings.m_prefill = 100ms;
  settings.m_down = 3s;
  settings.m_length = 50s;
  settings.m_bad_share = 0;
  settings.m_policy = SuspectPolicy::kOneReplica;
  return settings;
}

CrashFleetSettings LargeFleet() {
  CrashFleetSettings settings = SmallFleet();
  settings.m_entries = 8;
  settings.m_data_centers = 3;
  settings.m_replicas = 9;
  settings.m_calls_per_second = 60;
  settings.m_second_parts = 100;
  return settings;
}

double ShareOf(const SoundCalls& calls) {
  return static_cast<double>(calls.m_whole) / std::max(1u, calls.m_arrived);
}

class CrashFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashFleetTest);
  CPPUNIT_TEST(PartIsBlockedWhereverItCrashesReplicas);
  CPPUNIT_TEST(SoundCallsAreServedWhileThePartIsFound);
  CPPUNIT_TEST(OtherCrashesBlockNothing);
  CPPUNIT_TEST(LostDatagramsDelayTheVerdictOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a part that is never blocked, as it crashes replicas in the
  // middle of answers, and against parts of sound calls blocked in its place.
  void PartIsBlockedWhereverItCrashesReplicas() {
    for (const Duration interval : {Duration(350ms), Duration(3s)}) {
      ForEachPoint([&](CrashFleetSettings settings) {
        settings.m_bad_interval = interval;
        const CrashFleetResult result = FakeCrashFleet(settings).Run();
        CPPUNIT_ASSERT(result.m_crashes_until_blocked > 0);
        CPPUNIT_ASSERT(result.m_late <= kMaxLate);
        CPPUNIT_ASSERT(100 * result.m_sound_refused <=
                       kMaxRefusedPercent * result.m_sound_calls);
        CPPUNIT_ASSERT(ShareOf(result.m_after) >=
                       kLeastShare * ShareOf(result.m_before));
      });
    }
  }

  // Guards against a pool whose replicas are all away when the part is found:
  // requests with a suspected part go to one replica.
  void SoundCallsAreServedWhileThePartIsFound() {
    ForEachPoint([](CrashFleetSettings settings) {
      settings.m_bad_interval = 350ms;
      const SoundCalls during = FakeCrashFleet(settings).Run().m_during;
      CPPUNIT_ASSERT(ShareOf(during) >= kLeastShare);
    });
  }

  // Guards against a verdict on what sound calls have in common, while replicas
  // crash for other reasons.
  void OtherCrashesBlockNothing() {
    for (CrashFleetSettings settings : {SmallFleet(), LargeFleet()}) {
      settings.m_other_crashes = 3s;
      for (settings.m_seed = 1; settings.m_seed <= 5; ++settings.m_seed) {
        const CrashFleetResult result = FakeCrashFleet(settings).Run();
        CPPUNIT_ASSERT(result.m_crashes >= 10);
        CPPUNIT_ASSERT(result.m_wrong.empty());
      }
    }
  }

  void LostDatagramsDelayTheVerdictOnly() {
    CrashFleetSettings settings = LargeFleet();
    settings.m_loss = 0.2;
    settings.m_bad_interval = 350ms;
    settings.m_crash_point = CrashPoint::kAfterEvent;
    const CrashFleetResult result = FakeCrashFleet(settings).Run();
    CPPUNIT_ASSERT(result.m_crashes_until_blocked > 0);
    CPPUNIT_ASSERT(result.m_late <= kMaxLate);
  }

 private:
  template <typename Check>
  void ForEachPoint(Check check) {
    for (CrashFleetSettings settings : {SmallFleet(), LargeFleet()}) {
      for (const CrashPoint point :
           {CrashPoint::kBeforeHead, CrashPoint::kAfterHead,
            CrashPoint::kAfterEvent, CrashPoint::kRandomEvent}) {
        settings.m_crash_point = point;
        for (const uint32_t event : {1, 3, 6}) {
          settings.m_crash_event = event;
          if (event == 1 || point == CrashPoint::kAfterEvent)
            check(settings);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashFleetTest);

}  // namespace
}  // namespace verbenalead::decide
