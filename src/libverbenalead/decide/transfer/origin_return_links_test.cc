#include "decide/transfer/origin_return_fixture.h"

namespace verbenalead::decide {
namespace {

class OriginReturnLinksTest : public OriginReturnFixture {
  CPPUNIT_TEST_SUITE(OriginReturnLinksTest);
  CPPUNIT_TEST(SlowOriginSendsEachChunkOnce);
  CPPUNIT_TEST(NarrowRegionLinkCausesNoSecondFetch);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against take-overs of chunks that are only slow, where the origin
  // sends at half of its configured rate.
  void SlowOriginSendsEachChunkOnce() {
    for (const uint32_t hosts : {12, 52, 88, 300}) {
      OutageScenario load = Outage(hosts);
      load.m_origin_chunk = 90ms;
      load.m_outage_start = 5s;
      CheckReturn("half rate", load);
    }
  }

  // Guards against hosts of a region that fetch from the origin what is on its
  // way through a narrow link.
  void NarrowRegionLinkCausesNoSecondFetch() {
    for (const uint32_t hosts : {12, 52, 88, 300}) {
      OutageScenario load = Outage(hosts);
      load.m_narrowing = 4;
      CheckReturn("narrow", load);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginReturnLinksTest);

}  // namespace
}  // namespace verbenalead::decide
