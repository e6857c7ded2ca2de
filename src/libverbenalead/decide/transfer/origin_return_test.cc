#include "decide/transfer/origin_return_fixture.h"

namespace verbenalead::decide {
namespace {

class OriginReturnTest : public OriginReturnFixture {
  CPPUNIT_TEST_SUITE(OriginReturnTest);
  CPPUNIT_TEST(ReturnIsNoticedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against hosts that notice the origin's return only after their own
  // backoff, one after the other, while its link is idle.
  void ReturnIsNoticedAtOnce() {
    for (const uint32_t hosts : {12, 52, 88, 300})
      CheckReturn("return", Outage(hosts));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginReturnTest);

}  // namespace
}  // namespace verbenalead::decide
