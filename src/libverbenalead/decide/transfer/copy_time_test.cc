#include "decide/transfer/copy_time.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

class CopyTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CopyTimeTest);
  CPPUNIT_TEST(OnlySlowOriginsAreScarce);
  CPPUNIT_TEST(UnknownRateTakesNoTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against deployments that prepare for outages although their origin
  // sends a copy in a small part of the bound, and the reverse.
  void OnlySlowOriginsAreScarce() {
    CPPUNIT_ASSERT(!IsOriginScarce(1990ms, 8s, 0.25));
    CPPUNIT_ASSERT(IsOriginScarce(2s, 8s, 0.25));
    CPPUNIT_ASSERT(IsOriginScarce(3s, 8s, 0.25));
    CPPUNIT_ASSERT(IsOriginScarce(Duration(), 8s, 0));
  }

  // Guards against a division by a rate that the configuration doesn't name.
  void UnknownRateTakesNoTime() {
    model::EngineProfile engine;
    engine.m_chunks = 96;
    engine.m_chunk_bytes = 1000;
    CPPUNIT_ASSERT(CopyTime(engine, 0) == Duration());
    CPPUNIT_ASSERT(CopyTime(engine, 48000) == 2s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyTimeTest);

}  // namespace
}  // namespace verbenalead::decide
