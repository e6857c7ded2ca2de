#include "decide/transfer/origin_return_fixture.h"
#include "decide/transfer/version_choice.h"

namespace verbenalead::decide {
namespace {

class OriginReturnVersionsTest : public OriginReturnFixture {
  CPPUNIT_TEST_SUITE(OriginReturnVersionsTest);
  CPPUNIT_TEST(SecondVersionIsCompleteInLinkTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two versions that are both fetched in part: 2 s after the
  // first declaration the older one is given up, and the newer one takes the
  // origin's link alone.
  void SecondVersionIsCompleteInLinkTime() {
    for (const uint32_t hosts : {12, 52, 88, 300}) {
      OutageScenario load = Outage(hosts);
      load.m_outage_start = 500ms;
      const uint32_t older_missing = 96 - 2000 / 45;
      const TimePoint now = TimePoint() + 2s;
      const VersionTimes times = {kOriginChunk, 840ms, 300ms, 1s};
      const VersionChoice choice =
          ChooseVersions({{2, {now + 10700ms, older_missing, true, false}},
                          {3, {now + 12700ms, load.m_chunks, true, false}}},
                         times, true, now);
      CPPUNIT_ASSERT(choice.m_fetch_order == std::vector<uint64_t>{3});
      CheckReturn("two versions", load);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginReturnVersionsTest);

}  // namespace
}  // namespace verbenalead::decide
