#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "decide/transfer/fake_outage_fleet.h"

namespace verbenalead::decide {
namespace {

class TransferOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransferOutageTest);
  CPPUNIT_TEST(ReturnedOriginSendsEachChunkOnce);
  CPPUNIT_TEST(OriginSendsEachChunkOnceAfterALongOutage);
  CPPUNIT_TEST(HostFailuresCostFewOriginFetches);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against seconds in which no replica has allowed weights: the origin
  // returns, and its link carries each missing chunk twice, so that the last
  // one reaches the hosts later than the time limit for a new version.
  void ReturnedOriginSendsEachChunkOnce() {
    for (const uint64_t seed : {1, 2, 3, 4, 20261202}) {
      OutageFleet fleet({}, seed);
      CPPUNIT_ASSERT(fleet.Run());
      CPPUNIT_ASSERT_LESSEQUAL(1.05, fleet.FetchesPerChunk());
    }
  }

  // Guards against weights that arrive seconds later than possible: half of the
  // chunks were missing when the origin became unreachable, and when it returns
  // the first two hosts in rank fetch each of them, since both have waited
  // longer than the take-over delay.
  void OriginSendsEachChunkOnceAfterALongOutage() {
    for (const uint64_t seed : {1, 2, 3, 4, 20261202}) {
      OutageScenario load;
      load.m_outage_start = 1400ms;
      load.m_outage = 10s;
      OutageFleet fleet(load, seed);
      CPPUNIT_ASSERT(fleet.Run());
      CPPUNIT_ASSERT_LESSEQUAL(1.05, fleet.FetchesPerChunk());
    }
  }

  // The same while hosts die that are still in the list of members.
  void HostFailuresCostFewOriginFetches() {
    const bool passed = rc::check("host failures cost few origin fetches", [] {
      OutageScenario load;
      load.m_hosts = *rc::gen::inRange<uint32_t>(12, 70);
      load.m_host_failures = *rc::gen::inRange<uint32_t>(0, 5);
      load.m_outage =
          std::chrono::milliseconds(*rc::gen::inRange<int>(0, 9000));
      OutageFleet fleet(load, *rc::gen::arbitrary<uint64_t>());
      RC_ASSERT(fleet.Run());
      RC_ASSERT(fleet.FetchesPerChunk() <= 1.5);
      RC_ASSERT(fleet.CompletionDelay() <= Duration(15s));
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferOutageTest);

}  // namespace
}  // namespace verbenalead::decide
