/// Prints one line for each fleet and trouble: requests that share a part of
/// their prompts crash the replicas that answer them, at several points of the
/// answer; or replicas crash for other reasons.
///
///     bench=crash fleet=9 crash=after_event/3 bad_ms=350 policy=one_replica
///     ...
///
/// Figures are sums over kSeeds runs; shares of sound calls that were answered
/// whole are those before, in the 10 s after the first crash, and later. Time
/// is simulated, so the results are the same on any machine.
#include <cstdio>
#include <string>

#include "decide/health/fake_crash_fleet.h"

namespace verbenalead::decide {
namespace {

constexpr uint32_t kSeeds = 3;

struct Fleet {
  const char* m_name;
  uint32_t m_entries;
  uint32_t m_data_centers;
  uint32_t m_replicas;
  double m_calls_per_second;
  uint32_t m_first_parts;
  uint32_t m_second_parts;
};
constexpr Fleet kFleets[] = {{"4", 2, 2, 4, 6, 6, 20},
                             {"9", 8, 3, 9, 60, 6, 100},
                             {"52", 8, 3, 52, 350, 40, 400}};

struct Trouble {
  const char* m_name;
  CrashPoint m_point;
  uint32_t m_event;
};
constexpr Trouble kTroubles[] = {{"before_head", CrashPoint::kBeforeHead, 1},
                                 {"after_head", CrashPoint::kAfterHead, 1},
                                 {"after_event/1", CrashPoint::kAfterEvent, 1},
                                 {"after_event/3", CrashPoint::kAfterEvent, 3},
                                 {"after_event/6", CrashPoint::kAfterEvent, 6},
                                 {"random_event", CrashPoint::kRandomEvent, 1}};

struct Policy {
  const char* m_name;
  SuspectPolicy m_policy;
  bool m_events_clear;
};
constexpr Policy kPolicies[] = {
    {"events_clear", SuspectPolicy::kAsOthers, true},
    {"as_others", SuspectPolicy::kAsOthers, false},
    {"hold", SuspectPolicy::kHold, false},
    {"not_resumed", SuspectPolicy::kNotResumed, false},
    {"one_replica", SuspectPolicy::kOneReplica, false}};

CrashFleetSettings SettingsOf(const Fleet& fleet, const Policy& policy) {
  CrashFleetSettings settings;
  settings.m_entries = fleet.m_entries;
  settings.m_data_centers = fleet.m_data_centers;
  settings.m_replicas = fleet.m_replicas;
  settings.m_calls_per_second = fleet.m_calls_per_second;
  settings.m_first_parts = fleet.m_first_parts;
  settings.m_second_parts = fleet.m_second_parts;
  settings.m_prefill = 150ms;
  settings.m_events = 20;
  settings.m_down = 3s;
  settings.m_length = 50s;
  settings.m_bad_share = 0;
  settings.m_policy = policy.m_policy;
  settings.m_events_clear = policy.m_events_clear;
  return settings;
}

void Add(SoundCalls& sum, const SoundCalls& more) {
  sum.m_arrived += more.m_arrived;
  sum.m_whole += more.m_whole;
}

double ShareOf(const SoundCalls& calls) {
  return calls.m_arrived > 0
             ? static_cast<double>(calls.m_whole) / calls.m_arrived
             : -1;
}

void Measure(const Fleet& fleet,
             const std::string& crash,
             const Policy& policy,
             CrashFleetSettings settings,
             uint32_t seeds = kSeeds) {
  CrashFleetResult sum;
  uint32_t unblocked = 0;
  uint32_t worst_late = 0;
  size_t wrong = 0;
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    settings.m_seed = seed;
    const CrashFleetResult result = FakeCrashFleet(settings).Run();
    sum.m_crashes += result.m_crashes;
    sum.m_crashes_until_blocked += result.m_crashes_until_blocked;
    unblocked += result.m_crashes_until_blocked == 0 ? 1 : 0;
    worst_late = std::max(worst_late, result.m_late);
    wrong += result.m_wrong.size();
    sum.m_sound_refused += result.m_sound_refused;
    Add(sum.m_before, result.m_before);
    Add(sum.m_during, result.m_during);
    Add(sum.m_after, result.m_after);
  }
  std::printf(
      "bench=crash fleet=%s crash=%s every_ms=%lld policy=%s crashes=%u "
      "until_blocked=%u unblocked=%u worst_late=%u wrong_parts=%zu "
      "sound_refused=%u whole=%.2f,%.2f,%.2f\n",
      fleet.m_name, crash.c_str(),
      static_cast<long long>(ToMilliseconds(
          std::max(settings.m_bad_interval, settings.m_other_crashes))),
      policy.m_name, sum.m_crashes, sum.m_crashes_until_blocked, unblocked,
      worst_late, wrong, sum.m_sound_refused, ShareOf(sum.m_before),
      ShareOf(sum.m_during), ShareOf(sum.m_after));
}

void MeasureParts(const Fleet& fleet, const Policy& policy) {
  for (const Duration interval : {Duration(350ms), Duration(3s)}) {
    for (const Trouble& trouble : kTroubles) {
      CrashFleetSettings settings = SettingsOf(fleet, policy);
      settings.m_bad_interval = interval;
      settings.m_crash_point = trouble.m_point;
      settings.m_crash_event = trouble.m_event;
      Measure(fleet, trouble.m_name, policy, settings);
    }
  }
}

void MeasureOtherCrashes(const Fleet& fleet, const Policy& policy) {
  for (const Duration interval :
       {Duration(350ms), Duration(1s), Duration(3s)}) {
    CrashFleetSettings settings = SettingsOf(fleet, policy);
    settings.m_other_crashes = interval;
    Measure(fleet, "other_reasons", policy, settings);
  }
}

/// A share of all calls has the part, from 8 to 300 entries; datagrams are
/// lost, or all entries restart.
void MeasureSizes() {
  for (const Fleet& fleet : {Fleet{"12", 8, 3, 12, 85, 180, 400},
                             Fleet{"76", 44, 3, 76, 530, 180, 400},
                             Fleet{"450", 300, 6, 450, 3150, 180, 400}}) {
    CrashFleetSettings settings = SettingsOf(fleet, kPolicies[4]);
    settings.m_length = 20s;
    for (const int per_thousand : {5, 50}) {
      settings.m_bad_share = per_thousand / 1000.0;
      for (const int lost_percent : {0, 20}) {
        settings.m_loss = lost_percent / 100.0;
        Measure(fleet,
                "share/" + std::to_string(per_thousand) + "/loss/" +
                    std::to_string(lost_percent),
                kPolicies[4], settings, 1);
      }
    }
    settings.m_restart_at = 5s;
    Measure(fleet, "restart", kPolicies[4], settings, 1);
  }
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  using namespace verbenalead::decide;
  MeasureSizes();
  for (const Fleet& fleet : kFleets) {
    for (const Policy& policy : kPolicies) {
      MeasureParts(fleet, policy);
      MeasureOtherCrashes(fleet, policy);
    }
  }
  return 0;
}
