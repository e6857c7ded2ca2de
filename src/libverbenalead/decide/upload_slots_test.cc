#include "decide/upload_slots.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 10s;

UploadRequest Request(uint64_t id, uint32_t chunk) {
  return {id, chunk, false, 0};
}

class UploadSlotsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UploadSlotsTest);
  CPPUNIT_TEST(ConcurrentUploadsAreLimited);
  CPPUNIT_TEST(SlowUploadDoesNotBlockOthers);
  CPPUNIT_TEST(OlderVersionIsUploadedFirst);
  CPPUNIT_TEST(EndedRequestIsSkipped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version that spreads at half the possible speed: a host
  // sends five chunks concurrently over its link, and until all are complete no
  // receiver has one to pass on.
  void ConcurrentUploadsAreLimited() {
    for (uint64_t id = 1; id <= 5; ++id)
      Ask(m_turns, 2, Request(id, static_cast<uint32_t>(id)));
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{1});
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(!Next(m_turns, kStart));
    End(m_turns, 1);
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{3});
    CPPUNIT_ASSERT(!Next(m_turns, kStart));
  }

  // Guards against a version that stops spreading: two receivers whose links
  // have become slow occupy both concurrent uploads of a host, and a third
  // receiver gets none.
  void SlowUploadDoesNotBlockOthers() {
    for (uint64_t id = 1; id <= 3; ++id)
      Ask(m_turns, 2, Request(id, 0));
    Next(m_turns, kStart);
    Next(m_turns, kStart);
    CPPUNIT_ASSERT(!Next(m_turns, kStart + 299ms));
    CPPUNIT_ASSERT(Next(m_turns, kStart + 300ms) == uint64_t{3});
  }

  void OlderVersionIsUploadedFirst() {
    Ask(m_turns, 3, Request(1, 0));
    Ask(m_turns, 2, Request(2, 0));
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{1});
  }

  void EndedRequestIsSkipped() {
    Ask(m_turns, 2, Request(1, 0));
    Ask(m_turns, 2, Request(2, 0));
    End(m_turns, 1);
    CPPUNIT_ASSERT(Next(m_turns, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(!Next(m_turns, kStart));
  }

 private:
  UploadSlots m_turns;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadSlotsTest);

}  // namespace
}  // namespace verbenalead::decide
