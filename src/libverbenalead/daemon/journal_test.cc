#include "daemon/journal.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace verbenalead::daemon {
namespace {

class JournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalTest);
  CPPUNIT_TEST(EvictsOldestRequestFirst);
  CPPUNIT_TEST(ConcurrentRecords);
  CPPUNIT_TEST(SegmentIsBoundedAndReportsDroppedLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EvictsOldestRequestFirst() {
    Journal journal("h", 16);
    for (int i = 0; i < 1000; ++i)
      journal.Record("r" + std::to_string(i), LogLine("x"));
    CPPUNIT_ASSERT(journal.Find("r0").empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, journal.Find("r999").size());
  }

  void ConcurrentRecords() {
    Journal journal("h", 1000);
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&journal] {
        for (int i = 0; i < 50; ++i)
          journal.Record("r" + std::to_string(i), LogLine("x"));
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, journal.Find("r7").size());
  }

  // While the object store accepts nothing for a long time, memory must not
  // grow, and the next segment must state that lines are missing.
  void SegmentIsBoundedAndReportsDroppedLines() {
    Journal journal("h", 16);
    const std::string filler(1000, 'x');
    for (int i = 0; i < 3000; ++i)
      journal.Record("r" + std::to_string(i),
                     LogLine("x").With("text", filler));
    const std::string segment = journal.ExtractSegment();
    CPPUNIT_ASSERT(segment.size() < (size_t{1} << 20) + 1000);
    CPPUNIT_ASSERT(segment.starts_with("event=journal_dropped host=h lines="));
    CPPUNIT_ASSERT(journal.ExtractSegment().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);

}  // namespace
}  // namespace verbenalead::daemon
