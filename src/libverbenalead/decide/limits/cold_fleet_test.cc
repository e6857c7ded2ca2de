#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>
#include <vector>

#include "decide/limits/fake_cold_fleet.h"

namespace verbenalead::decide {
namespace {

constexpr std::array<uint32_t, 4> kFleets = {3, 8, 44, 300};
/// Most calls in any second: 14 * 1.5 + 5.
constexpr size_t kBound = 26;
/// Least share of the cold rate that is used while more calls come.
constexpr double kLeastUse = 0.85;

class ColdFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdFleetTest);
  CPPUNIT_TEST(BurstAtManyReplicasKeepsTheBoundAndUsesTheRate);
  CPPUNIT_TEST(BurstAfterAnIdleTimeKeepsTheBound);
  CPPUNIT_TEST(KilledHolderKeepsTheBound);
  CPPUNIT_TEST(PausedEntryKeepsTheBound);
  CPPUNIT_TEST(StartedEntryKeepsTheBound);
  CPPUNIT_TEST(LinkCutOneWayKeepsTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against cold replicas that crash under the calls of all entries, and
  // against replicas that are left idle for fear of it.
  void BurstAtManyReplicasKeepsTheBoundAndUsesTheRate() {
    ForAll(
        "burst", [](ColdFleetSettings&) {}, kLeastUse);
  }

  // Guards against a full bucket that is emptied by a burst while another
  // process takes over.
  void BurstAfterAnIdleTimeKeepsTheBound() {
    for (const Duration before :
         {-1500ms, -1000ms, -300ms, -50ms, 50ms, 300ms, 1000ms}) {
      for (const int what : {0, 1, 2, 3, 4}) {
        ForAll("idle",
               [=](ColdFleetSettings& settings) {
                 settings.m_idle = {3s, 5s};
                 settings.m_demand = 200;
                 settings.m_duration = 9s;
                 const Duration at = 5s - before;
                 if (what == 1)
                   settings.m_kill_at = at;
                 else if (what == 2)
                   settings.m_pause = {at - 2s, at};
                 else if (what == 3)
                   settings.m_start_at = at;
                 else if (what == 4)
                   settings.m_cut_at = at;
               },
               0, {3, 8});
      }
    }
  }

  // Guards against two buckets one after the other that both begin full.
  void KilledHolderKeepsTheBound() {
    ForAll("killed",
           [](ColdFleetSettings& settings) { settings.m_kill_at = 5s; });
  }

  // Guards against an entry that goes on after a pause as the holder that it
  // was, while another one has taken over.
  void PausedEntryKeepsTheBound() {
    for (const Duration length : {600ms, 1500ms, 3000ms, 4500ms}) {
      ForAll("paused", [length](ColdFleetSettings& settings) {
        settings.m_pause = {4s, 4s + length};
      });
    }
  }

  // Guards against a new holder that grants while the one before it hasn't
  // heard of it yet.
  void StartedEntryKeepsTheBound() {
    ForAll("started",
           [](ColdFleetSettings& settings) { settings.m_start_at = 5s; });
  }

  // Guards against two holders that both grant for as long as one of them
  // doesn't hear the other.
  void LinkCutOneWayKeepsTheBound() {
    ForAll("cut", [](ColdFleetSettings& settings) { settings.m_cut_at = 4s; });
  }

 private:
  template <typename Change>
  static void ForAll(const char* what,
                     Change change,
                     double least_use = 0,
                     const std::vector<uint32_t>& fleets = {kFleets.begin(),
                                                            kFleets.end()}) {
    for (const bool has_targets : {true, false}) {
      for (const uint32_t entries : fleets) {
        ColdFleetSettings settings;
        settings.m_entries = entries;
        settings.m_has_targets = has_targets;
        settings.m_replicas = entries == 300 ? 2 : 6;
        change(settings);
        Check(what, settings, least_use);
      }
    }
  }

  static void Check(const char* what,
                    const ColdFleetSettings& settings,
                    double least_use) {
    FakeColdFleet fleet(settings);
    fleet.Run();
    const size_t worst = fleet.WorstSecond();
    // Buckets start empty, and entries pause before they grant.
    const double used = fleet.LeastUse(3s);
    char text[120];
    std::snprintf(text, sizeof(text), "%s, %u entries, %s: %zu, %.2f", what,
                  settings.m_entries,
                  settings.m_has_targets ? "targets" : "entries hold", worst,
                  used);
    std::puts(text);
    CPPUNIT_ASSERT_MESSAGE(text, worst <= kBound);
    CPPUNIT_ASSERT_MESSAGE(text, used >= least_use);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdFleetTest);

}  // namespace
}  // namespace verbenalead::decide
