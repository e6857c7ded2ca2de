#include "decide/transfer/upload_slots.h"

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
      EnqueueRequest(m_slots, 2, Request(id, static_cast<uint32_t>(id)));
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{1});
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(!StartNextUpload(m_slots, kStart));
    EndUpload(m_slots, 1);
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{3});
    CPPUNIT_ASSERT(!StartNextUpload(m_slots, kStart));
  }

  // Guards against a version that stops spreading: two receivers whose links
  // have become slow occupy both concurrent uploads of a host, and a third
  // receiver gets none.
  void SlowUploadDoesNotBlockOthers() {
    for (uint64_t id = 1; id <= 3; ++id)
      EnqueueRequest(m_slots, 2, Request(id, 0));
    StartNextUpload(m_slots, kStart);
    StartNextUpload(m_slots, kStart);
    CPPUNIT_ASSERT(!StartNextUpload(m_slots, kStart + 299ms));
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart + 300ms) == uint64_t{3});
  }

  void OlderVersionIsUploadedFirst() {
    EnqueueRequest(m_slots, 3, Request(1, 0));
    EnqueueRequest(m_slots, 2, Request(2, 0));
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{1});
  }

  void EndedRequestIsSkipped() {
    EnqueueRequest(m_slots, 2, Request(1, 0));
    EnqueueRequest(m_slots, 2, Request(2, 0));
    EndUpload(m_slots, 1);
    CPPUNIT_ASSERT(StartNextUpload(m_slots, kStart) == uint64_t{2});
    CPPUNIT_ASSERT(!StartNextUpload(m_slots, kStart));
  }

 private:
  UploadSlots m_slots;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadSlotsTest);

}  // namespace
}  // namespace verbenalead::decide
