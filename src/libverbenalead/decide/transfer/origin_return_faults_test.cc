#include "decide/transfer/origin_return_fixture.h"

namespace verbenalead::decide {
namespace {

class OriginReturnFaultsTest : public OriginReturnFixture {
  CPPUNIT_TEST_SUITE(OriginReturnFaultsTest);
  CPPUNIT_TEST(HangingConnectionsDelayNoHost);
  CPPUNIT_TEST(LossOfTheOnlyCopyCostsOneFetch);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests without any answer that occupy hosts for seconds
  // after the return.
  void HangingConnectionsDelayNoHost() {
    for (const uint32_t hosts : {12, 52, 88, 300}) {
      OutageScenario load = Outage(hosts);
      load.m_hangs = true;
      CheckReturn("hangs", load);
    }
  }

  // Guards against a chunk that no host fetches any more, as its only holder
  // has announced it and died.
  void LossOfTheOnlyCopyCostsOneFetch() {
    for (const uint32_t hosts : {12, 52, 88, 300}) {
      OutageScenario load = Outage(hosts);
      load.m_only_copy_lost = true;
      OutageFleet fleet(load, 1);
      CPPUNIT_ASSERT(fleet.Run());
      Print("only copy lost", load, fleet);
      CPPUNIT_ASSERT_LESSEQUAL(kMaxCopies, fleet.FetchesPerChunk());
      CPPUNIT_ASSERT_LESSEQUAL(Duration(6s), fleet.CompletionDelay());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginReturnFaultsTest);

}  // namespace
}  // namespace verbenalead::decide
