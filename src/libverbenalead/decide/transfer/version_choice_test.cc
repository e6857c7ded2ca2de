#include "decide/transfer/version_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include "decide/transfer/origin_rate.h"

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint32_t kChunks = 96;
constexpr Duration kBound = 12700ms;
constexpr Duration kInterval = 44843us;
constexpr VersionTimes kTimes = {kInterval, 840ms, 300ms, 1s};

/// A version declared at `declared` after the start.
VersionSupply Declared(Duration declared, uint32_t missing) {
  return {kStart + declared + kBound, missing, true, false};
}

using Order = std::vector<uint64_t>;

class VersionChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionChoiceTest);
  CPPUNIT_TEST(SingleVersionIsFetched);
  CPPUNIT_TEST(OlderIsGivenUpWhereNewerIsInTime);
  CPPUNIT_TEST(OlderIsGivenUpAfterAnOutage);
  CPPUNIT_TEST(OlderBridgesTheTimeUntilTheNewerIsLoaded);
  CPPUNIT_TEST(SlowOriginKeepsTheOlder);
  CPPUNIT_TEST(OlderThatBindsTooLateIsGivenUp);
  CPPUNIT_TEST(NearlyCompleteOlderIsFinishedFirst);
  CPPUNIT_TEST(VersionWithoutDigestsIsNotChosen);
  CPPUNIT_TEST(AbsentOriginGivesUpOnlyWhatIsTooLate);
  CPPUNIT_TEST(SmallGainDoesNotFlipTheChoice);
  CPPUNIT_TEST(GivenUpVersionStillBinds);
  CPPUNIT_TEST(MiddleOfThreeIsGivenUp);
  CPPUNIT_TEST(ManyVersionsEndWithTheNewest);
  CPPUNIT_TEST(NoTransferKeepsAnotherOneFromBeginning);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a transfer that never starts.
  void SingleVersionIsFetched() {
    CPPUNIT_ASSERT(Choose({{2, Declared(0s, kChunks)}}, 1s).m_fetch_order ==
                   Order{2});
    CPPUNIT_ASSERT(Choose({}, 1s) == VersionChoice());
  }

  // Guards against two copies of weights drawn from the origin, and two loads,
  // where one version is in force before either becomes binding.
  void OlderIsGivenUpWhereNewerIsInTime() {
    const VersionChoice choice =
        Choose({{2, Declared(0s, 51)}, {3, Declared(2s, kChunks)}}, 2s);
    CPPUNIT_ASSERT(choice.m_fetch_order == Order{3});
    CPPUNIT_ASSERT((choice.m_given_up == std::vector<GivenUpVersion>{
                                             {2, 3, 51, GiveUpReason::kCost}}));
  }

  // Guards against a newer version that is complete five seconds after the
  // older one became binding, as the origin sends both after its return.
  void OlderIsGivenUpAfterAnOutage() {
    const VersionChoice choice =
        Choose({{2, Declared(0s, 40)}, {3, Declared(2s, kChunks)}}, 8500ms);
    CPPUNIT_ASSERT(choice.m_fetch_order == Order{3});
  }

  // Guards against seconds without usable weights, where the newer version
  // can't be loaded before the older one becomes binding.
  void OlderBridgesTheTimeUntilTheNewerIsLoaded() {
    const VersionChoice choice =
        Choose({{2, Declared(0s, 20)}, {3, Declared(9s, kChunks)}}, 10s);
    CPPUNIT_ASSERT((choice.m_fetch_order == Order{2, 3}));
    CPPUNIT_ASSERT(choice.m_given_up.empty());
  }

  // Guards against giving up the older version by the configured rate of an
  // origin that sends at half of it.
  void SlowOriginKeepsTheOlder() {
    const std::map<uint64_t, VersionSupply> versions = {
        {2, Declared(0s, 30)}, {3, Declared(6s, kChunks)}};
    CPPUNIT_ASSERT(Choose(versions, 7s).m_fetch_order == Order{3});
    OriginRate rate;
    for (int i = 0; i < 20; ++i)
      RecordCompletion(rate, kStart + 5s + 2 * i * kInterval);
    VersionTimes times = kTimes;
    times.m_origin_interval = OriginInterval(rate, kInterval);
    CPPUNIT_ASSERT(
        (ChooseVersions(versions, times, true, kStart + 7s).m_fetch_order ==
         Order{2, 3}));
  }

  // Guards against chunks of a version that no replica may serve with any more
  // once it is loaded.
  void OlderThatBindsTooLateIsGivenUp() {
    const VersionChoice choice =
        Choose({{2, Declared(0s, 30)}, {3, Declared(1s, 60)}}, 12s);
    CPPUNIT_ASSERT(choice.m_fetch_order == Order{3});
    CPPUNIT_ASSERT(choice.m_given_up.at(0).m_reason == GiveUpReason::kTooLate);
  }

  // Guards against no complete version, where the origin becomes unavailable a
  // moment after the last chunks of the older version could have been fetched.
  void NearlyCompleteOlderIsFinishedFirst() {
    const VersionChoice choice =
        Choose({{2, Declared(0s, 10)}, {3, Declared(4s, kChunks)}}, 4s);
    CPPUNIT_ASSERT((choice.m_fetch_order == Order{2, 3}));
  }

  // Guards against giving up a version for one whose chunks can't be verified.
  void VersionWithoutDigestsIsNotChosen() {
    VersionSupply newer = Declared(2s, kChunks);
    newer.m_has_digests = false;
    const VersionChoice choice =
        Choose({{2, Declared(0s, 51)}, {3, newer}}, 2s);
    CPPUNIT_ASSERT(choice.m_fetch_order == Order{2});
    CPPUNIT_ASSERT(choice.m_given_up.empty());
  }

  // Guards against giving up a version while nobody knows when the origin
  // returns: the older one may be the only one that is in force in time.
  void AbsentOriginGivesUpOnlyWhatIsTooLate() {
    const std::map<uint64_t, VersionSupply> versions = {
        {2, Declared(0s, 51)}, {3, Declared(2s, kChunks)}};
    CPPUNIT_ASSERT(Choose(versions, 3s, false).m_given_up.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         Choose(versions, 14s, false).m_given_up.size());
  }

  // Guards against hosts that choose differently because their estimates differ
  // by a few chunks.
  void SmallGainDoesNotFlipTheChoice() {
    VersionTimes times = kTimes;
    times.m_load_cost = 200ms;
    const VersionChoice choice =
        ChooseVersions({{2, Declared(0s, 51)}, {3, Declared(2s, kChunks)}},
                       times, true, kStart + 2s);
    CPPUNIT_ASSERT((choice.m_fetch_order == Order{2, 3}));
  }

  // Guards against a plan that counts on old weights after a version that was
  // given up has become binding.
  void GivenUpVersionStillBinds() {
    VersionSupply oldest = Declared(0s, 40);
    oldest.m_given_up = true;
    const VersionSupply second = Declared(3s, 30);
    const VersionSupply third = Declared(7s, kChunks);
    CPPUNIT_ASSERT(
        (Choose({{2, oldest}, {3, second}, {4, third}}, 9s).m_fetch_order ==
         Order{3, 4}));
    CPPUNIT_ASSERT(
        (Choose({{3, second}, {4, third}}, 9s).m_fetch_order == Order{4}));
  }

  // Guards against a plan that only ever compares the oldest with the newest.
  void MiddleOfThreeIsGivenUp() {
    const VersionChoice choice = Choose({{2, Declared(0s, 12)},
                                         {3, Declared(8s, kChunks)},
                                         {4, Declared(9s, kChunks)}},
                                        10s);
    CPPUNIT_ASSERT((choice.m_fetch_order == Order{2, 4}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, choice.m_given_up.at(0).m_version);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, choice.m_given_up.at(0).m_replaced_by);
  }

  // Guards against a search that takes seconds, and against no version at all,
  // where an operator declares versions in a loop.
  void ManyVersionsEndWithTheNewest() {
    std::map<uint64_t, VersionSupply> versions;
    for (uint64_t version = 2; version < 42; ++version)
      versions[version] = Declared(version * 100ms, kChunks);
    const VersionChoice choice = Choose(versions, 4200ms);
    CPPUNIT_ASSERT(choice.m_fetch_order == Order{41});
    CPPUNIT_ASSERT_EQUAL(size_t{39}, choice.m_given_up.size());
  }

  // Guards against a version whose digests are obtained only after the load of
  // an older one that is complete.
  void NoTransferKeepsAnotherOneFromBeginning() {
    CPPUNIT_ASSERT(!ContinuesTransfer(0, std::nullopt));
    CPPUNIT_ASSERT(!ContinuesTransfer(2, std::nullopt));
    CPPUNIT_ASSERT(!ContinuesTransfer(2, 3));
    CPPUNIT_ASSERT(ContinuesTransfer(2, 2));
  }

 private:
  static VersionChoice Choose(const std::map<uint64_t, VersionSupply>& versions,
                              Duration now,
                              bool origin_answers = true) {
    return ChooseVersions(versions, kTimes, origin_answers, kStart + now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionChoiceTest);

}  // namespace
}  // namespace verbenalead::decide
