#include "daemon/journal.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace verbenalead::daemon {
namespace {

class JournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalTest);
  CPPUNIT_TEST(ForgetsTheOldestFirst);
  CPPUNIT_TEST(ThreadsWriteAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ForgetsTheOldestFirst() {
    Journal journal("h", 16);
    for (int i = 0; i < 1000; ++i)
      journal.Record("r" + std::to_string(i), LogLine("x"));
    CPPUNIT_ASSERT(journal.Find("r0").empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, journal.Find("r999").size());
  }

  void ThreadsWriteAtOnce() {
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);

}  // namespace
}  // namespace verbenalead::daemon
