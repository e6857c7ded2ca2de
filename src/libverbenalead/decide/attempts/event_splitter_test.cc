#include "decide/attempts/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace verbenalead::decide {
namespace {

std::string Event(uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
         "\n\n";
}

std::string Events(uint64_t first, uint64_t last) {
  std::string text;
  for (uint64_t id = first; id <= last; ++id)
    text += Event(id);
  return text;
}

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(BuffersIncompleteEvent);
  CPPUNIT_TEST(AcceptsCarriageReturns);
  CPPUNIT_TEST(ResumedStreamHasEachEventOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BuffersIncompleteEvent() {
    EventSplitter splitter;
    CPPUNIT_ASSERT_EQUAL(Event(1),
                         ExtractEvents(splitter, Event(1) + "id: 2\nda"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), splitter.m_last_id);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: x\n\n"),
                         ExtractEvents(splitter, "ta: x\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), splitter.m_last_id);
  }

  void AcceptsCarriageReturns() {
    EventSplitter splitter;
    const std::string event = "id:7\r\ndata: x\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(event, ExtractEvents(splitter, event));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), splitter.m_last_id);
  }

  // Guards against lost, duplicate or corrupt events when a stream continues at
  // another replica. Replicas break off at random positions, also within an
  // event, and the next one continues after the last complete event; the bytes
  // arrive in pieces of random size.
  void ResumedStreamHasEachEventOnce() {
    const bool passed = rc::check("splice", [] {
      const uint64_t last = *rc::gen::inRange<uint64_t>(1, 30);
      EventSplitter splitter;
      std::string caller;
      const int break_count = *rc::gen::inRange(0, 6);
      for (int run_number = 0; run_number <= break_count; ++run_number) {
        const uint64_t from =
            splitter.m_last_id.empty() ? 0 : std::stoull(splitter.m_last_id);
        const std::string replica_stream = Events(from + 1, last);
        DiscardPartialEvent(splitter);
        const size_t end =
            run_number == break_count
                ? replica_stream.size()
                : *rc::gen::inRange<size_t>(0, replica_stream.size() + 1);
        size_t begin = 0;
        while (begin < end) {
          const size_t size = *rc::gen::inRange<size_t>(1, 40);
          caller += ExtractEvents(
              splitter, std::string_view(replica_stream)
                            .substr(begin, std::min(size, end - begin)));
          begin += size;
        }
      }
      RC_ASSERT(caller == Events(1, last));
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace verbenalead::decide
