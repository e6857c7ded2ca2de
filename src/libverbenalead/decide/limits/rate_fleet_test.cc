#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "decide/limits/fake_rate_fleet.h"

namespace verbenalead::decide {
namespace {

constexpr uint32_t kFleets[] = {3, 8, 44, 300};
constexpr double kLimits[] = {0.3, 1, 2.3, 10};

std::string Describe(const RateFleetSettings& settings) {
  return std::to_string(settings.m_entries) + " entries, limit " +
         std::to_string(settings.m_limit);
}

void CheckBound(const RateFleetSettings& settings) {
  FakeRateFleet fleet(settings);
  const RateFleetResult result = fleet.Run();
  const uint32_t worst = result.WorstWindow(fleet.Start(), fleet.End());
  CPPUNIT_ASSERT_MESSAGE(Describe(settings) + ": " + std::to_string(worst),
                         worst <= AllowedInWindow(settings.m_limit));
}

class RateFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateFleetTest);
  CPPUNIT_TEST(FleetKeepsTheLimitAndUsesIt);
  CPPUNIT_TEST(OneEntryWithAllCallsUsesTheLimit);
  CPPUNIT_TEST(LostDatagramsNeverExceedTheLimit);
  CPPUNIT_TEST(RestartsOfTheHolderNeverExceedTheLimit);
  CPPUNIT_TEST(TakeoversNeverExceedTheLimit);
  CPPUNIT_TEST(LowerLimitHoldsAtOnce);
  CPPUNIT_TEST(ZeroLimitStillGetsARequestNowAndThen);
  CPPUNIT_TEST(AnyDisruptionsKeepTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit that each entry keeps alone, and against one that is
  // in less use than nine tenths.
  void FleetKeepsTheLimitAndUsesIt() {
    for (uint32_t entries : kFleets) {
      for (double limit : kLimits) {
        RateFleetSettings settings;
        settings.m_entries = entries;
        settings.m_limit = limit;
        settings.m_demand = 100 * limit;
        CheckBound(settings);
        CheckUse(settings);
      }
    }
  }

  // Guards against shares that leave a limit unused if all calls come through
  // one entry.
  void OneEntryWithAllCallsUsesTheLimit() {
    for (double limit : kLimits) {
      RateFleetSettings settings;
      settings.m_entries = 300;
      settings.m_limit = limit;
      settings.m_demand = 100 * limit;
      settings.m_single_caller = true;
      CheckBound(settings);
      CheckUse(settings);
    }
  }

  void LostDatagramsNeverExceedTheLimit() {
    for (uint32_t entries : kFleets) {
      for (double loss : {0.05, 0.3, 1.0}) {
        RateFleetSettings settings;
        settings.m_entries = entries;
        settings.m_loss = loss;
        CheckBound(settings);
      }
    }
  }

  void RestartsOfTheHolderNeverExceedTheLimit() {
    for (double limit : kLimits) {
      RateFleetSettings settings;
      settings.m_limit = limit;
      settings.m_demand = 100 * limit;
      settings.m_restarts = {20s, 21s, 22s, 23s, 40s};
      CheckBound(settings);
    }
  }

  // Guards against two holders that both admit the whole rate while the entries
  // disagree on which of them is the holder.
  void TakeoversNeverExceedTheLimit() {
    for (double limit : kLimits) {
      RateFleetSettings settings;
      settings.m_limit = limit;
      settings.m_demand = 100 * limit;
      settings.m_takeovers = {20s, 50s};
      CheckBound(settings);
    }
  }

  void LowerLimitHoldsAtOnce() {
    RateFleetSettings settings;
    settings.m_limit = 100;
    settings.m_demand = 1000;
    settings.m_changes = {{20s, 1.0}};
    FakeRateFleet fleet(settings);
    const RateFleetResult result = fleet.Run();
    const uint32_t worst =
        result.WorstWindow(fleet.Start() + 20s + 10ms, fleet.End());
    CPPUNIT_ASSERT(worst <= AllowedInWindow(1));
  }

  // Guards against a limit whose end nobody notices, as nobody asks any more.
  void ZeroLimitStillGetsARequestNowAndThen() {
    RateFleetSettings settings;
    settings.m_limit = 0;
    FakeRateFleet fleet(settings);
    const RateFleetResult result = fleet.Run();
    CPPUNIT_ASSERT(result.WorstWindow(fleet.Start(), fleet.End()) <=
                   AllowedInWindow(0));
    CPPUNIT_ASSERT(result.m_arrivals.size() >= 6);
  }

  void AnyDisruptionsKeepTheLimit() {
    const bool held = rc::check("bound", [] {
      RateFleetSettings settings;
      settings.m_seed = *rc::gen::arbitrary<uint64_t>();
      settings.m_entries = *rc::gen::inRange(1, 60);
      settings.m_limit = *rc::gen::inRange(0, 200) / 10.0;
      settings.m_demand = *rc::gen::inRange(1, 300);
      settings.m_loss = *rc::gen::inRange(0, 50) / 100.0;
      settings.m_duration = 40s;
      const auto times =
          rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 40'000));
      for (int at : *times)
        settings.m_restarts.push_back(std::chrono::milliseconds(at));
      // One takeover in any 4 s: an entry that restarts is out for longer.
      settings.m_takeovers = {
          std::chrono::milliseconds(*rc::gen::inRange(0, 20'000)),
          std::chrono::milliseconds(*rc::gen::inRange(25'000, 40'000))};
      FakeRateFleet fleet(settings);
      const RateFleetResult result = fleet.Run();
      RC_ASSERT(result.WorstWindow(fleet.Start(), fleet.End()) <=
                AllowedInWindow(settings.m_limit));
    });
    CPPUNIT_ASSERT(held);
  }

 private:
  static void CheckUse(const RateFleetSettings& settings) {
    FakeRateFleet fleet(settings);
    const RateFleetResult result = fleet.Run();
    const double seconds =
        std::chrono::duration<double>(settings.m_duration).count();
    const double used = static_cast<double>(result.m_arrivals.size()) /
                        (settings.m_limit * seconds);
    CPPUNIT_ASSERT_MESSAGE(Describe(settings) + ": " + std::to_string(used),
                           used >= 0.9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateFleetTest);

}  // namespace
}  // namespace verbenalead::decide
