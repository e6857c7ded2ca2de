#include "decide/membership/target_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include "model/host_builder.h"

namespace verbenalead::decide {
namespace {

constexpr size_t kPools = 10;

std::vector<model::Host> Fleet(size_t entries, size_t targets) {
  std::vector<model::Host> hosts;
  for (size_t i = 0; i < entries + targets; ++i) {
    const bool entry = i < entries;
    model::HostBuilder builder;
    builder.Name((entry ? "entry-" : "target-") + std::to_string(i))
        .Region(i % 2 == 0 ? "east" : "west")
        .Role(entry ? model::HostRole::kEntry : model::HostRole::kTarget);
    if (!entry)
      builder.Pool("pool-" + std::to_string(i / 2 % kPools));
    hosts.push_back(builder.Build());
  }
  return hosts;
}

TargetWatchState StateOf(const model::Host& entry,
                         const std::vector<model::Host>& hosts) {
  TargetWatchState state;
  state.m_self = entry.name();
  state.m_region = entry.region();
  SetHosts(state, hosts);
  return state;
}

class TargetWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetWatchTest);
  CPPUNIT_TEST(SmallFleetIsWatchedWhole);
  CPPUNIT_TEST(TargetsStayWatchedAfterEntryLosses);
  CPPUNIT_TEST(SilentTargetsAreReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetIsWatchedWhole() {
    const auto hosts = Fleet(8, 24);
    TargetWatchState state = StateOf(hosts[0], hosts);
    CPPUNIT_ASSERT_EQUAL(size_t{24}, TargetsToWatch(state, TimePoint()).size());
  }

  // Guards against calls refused with "no target", and against idle targets,
  // when no entry watches a target. Every tenth entry is lost at once. Each
  // target must still be watched by another entry, and each entry must watch
  // enough targets of each pool in its region, within its budget.
  void TargetsStayWatchedAfterEntryLosses() {
    const auto hosts = Fleet(630, 1700);
    std::map<std::string, size_t> watchers;
    for (size_t i = 0; i < 630; ++i) {
      TargetWatchState state = StateOf(hosts[i], hosts);
      const auto watched = TargetsToWatch(state, TimePoint());
      CPPUNIT_ASSERT(watched.size() <= kTargetsPerEntry + 32);
      std::map<std::string, size_t> same_region;
      for (const model::Host& target : watched) {
        watchers[target.name()] += i % 10 != 0;
        same_region[target.pool()] += target.region() == hosts[i].region();
      }
      CPPUNIT_ASSERT_EQUAL(kPools, same_region.size());
      for (const auto& [pool, count] : same_region)
        CPPUNIT_ASSERT(count >= kMinTargetsPerPool);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1700}, watchers.size());
    for (const auto& [name, count] : watchers)
      CPPUNIT_ASSERT(count >= 1);
  }

  // Half of the targets of an entry die without notice, as with a lost switch,
  // and stay in the host list. After kTargetTimeout, as many others must be
  // watched.
  void SilentTargetsAreReplaced() {
    const auto hosts = Fleet(630, 1700);
    TargetWatchState state = StateOf(hosts[0], hosts);
    const TimePoint start{};
    const auto before = TargetsToWatch(state, start);
    const TimePoint later = start + kTargetTimeout + 1s;
    std::set<std::string> dead;
    for (size_t i = 0; i < before.size(); ++i) {
      if (i % 2 == 0)
        dead.insert(before[i].name());
      else
        RecordAnswer(state, before[i].name(), later);
    }
    std::map<std::string, size_t> alive;
    for (const model::Host& target : TargetsToWatch(state, later))
      alive[target.pool()] += !dead.contains(target.name());
    for (const auto& [pool, count] : alive)
      CPPUNIT_ASSERT(count >= kMinTargetsPerPool);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetWatchTest);

}  // namespace
}  // namespace verbenalead::decide
