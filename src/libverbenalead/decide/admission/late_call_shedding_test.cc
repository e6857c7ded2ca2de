#include "decide/admission/late_call_shedding.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;

PoolCall CallIn(const std::set<std::string>& data_centers) {
  PoolCall call;
  call.m_data_centers =
      std::make_shared<const std::set<std::string>>(data_centers);
  return call;
}

class LateCallSheddingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCallSheddingTest);
  CPPUNIT_TEST(FullRegionDoesNotShedLateCallsOfOthers);
  CPPUNIT_TEST(FullPoolShedsAllLateCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against second tries that are refused though their regions have
  // room, because calls of a region that is full were refused.
  void FullRegionDoesNotShedLateCallsOfOthers() {
    NoteOnTimeRefusal(m_shedding, CallIn({"a"}), kStart);
    CPPUNIT_ASSERT(ShedsLateCalls(m_shedding, CallIn({"a"}), kStart));
    CPPUNIT_ASSERT(!ShedsLateCalls(m_shedding, CallIn({"b"}), kStart));
    CPPUNIT_ASSERT(!ShedsLateCalls(m_shedding, CallIn({"a", "b"}), kStart));
    CPPUNIT_ASSERT(!ShedsLateCalls(m_shedding, PoolCall(), kStart));
    CPPUNIT_ASSERT(
        !ShedsLateCalls(m_shedding, CallIn({"a"}), kStart + kSheddingHold));
  }

  void FullPoolShedsAllLateCalls() {
    NoteOnTimeRefusal(m_shedding, PoolCall(), kStart);
    CPPUNIT_ASSERT(ShedsLateCalls(m_shedding, PoolCall(), kStart));
    CPPUNIT_ASSERT(ShedsLateCalls(m_shedding, CallIn({"b"}), kStart));
  }

 private:
  LateCallShedding m_shedding;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCallSheddingTest);

}  // namespace
}  // namespace verbenalead::decide
