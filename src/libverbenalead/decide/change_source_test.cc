#include "decide/change_source.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

ChangeWatch KnownWatch(uint64_t revision) {
  ChangeWatch watch;
  watch.m_started = kStart;
  watch.m_known = true;
  watch.m_weights_revision = revision;
  return watch;
}

class ChangeSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeSourceTest);
  CPPUNIT_TEST(HostsStartingTogetherWaitForEntries);
  CPPUNIT_TEST(WaitsLongerForEntriesWithoutRows);
  CPPUNIT_TEST(ReadsStoreSeldomWithoutAnnouncements);
  CPPUNIT_TEST(PrefersRowsFromLocalEntries);
  CPPUNIT_TEST(FetchesFromRemoteEntriesWithoutLocalOnes);
  CPPUNIT_TEST(KnownRevisionsCauseNoFetch);
  CPPUNIT_TEST(FirstRowsAreFetchedFromAnyEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Callers get no answer for 20 s: all processes were killed, and 127 hosts
  // read 390 KB each over two links. While entries can tell them, none of them
  // asks the store; where all entries are dead, they ask one after the other.
  void HostsStartingTogetherWaitForEntries() {
    ChangeWatch watch;
    watch.m_started = kStart;
    CPPUNIT_ASSERT(LeavesStoreAlone(watch, 0, kStart + 2s));
    CPPUNIT_ASSERT(!LeavesStoreAlone(watch, 0, kStart + 2500ms));
    CPPUNIT_ASSERT(LeavesStoreAlone(watch, 1, kStart + 4900ms));
    CPPUNIT_ASSERT(!LeavesStoreAlone(watch, 1, kStart + 5s));
  }

  // The store gets 200 questions that nobody needs: the operator has written no
  // configuration yet, entries can't tell one, and all hosts ask for
  // themselves. They wait for the entries, but not for ever: those may have
  // lost the store.
  void WaitsLongerForEntriesWithoutRows() {
    ChangeWatch watch;
    watch.m_started = kStart;
    NoteAwaited(watch, kStart + 2s);
    CPPUNIT_ASSERT(LeavesStoreAlone(watch, 0, kStart + 4s));
    CPPUNIT_ASSERT(!LeavesStoreAlone(watch, 0, kStart + 5s));
    NoteAwaited(watch, kStart + 30s);
    CPPUNIT_ASSERT(!LeavesStoreAlone(watch, 1, kStart + 30s));
  }

  // Callers are served by a configuration that is 3 s old: hosts that no entry
  // tells follow the store while it changes five times a second. As each read
  // every change, 100 KB over the link between regions, it was full for 5 s.
  void ReadsStoreSeldomWithoutAnnouncements() {
    const ChangeWatch watch = KnownWatch(1);
    int reads = 0;
    TimePoint next_read = kStart;
    for (TimePoint now = kStart; now < kStart + 6s; now += 200ms) {
      if (now < next_read || LeavesStoreAlone(watch, 0, now))
        continue;
      ++reads;
      next_read = now + kUntoldInterval;
    }
    CPPUNIT_ASSERT(reads <= 4);
    CPPUNIT_ASSERT(reads >= 2);
  }

  // Configurations come late in a whole region: new weights are declared, and
  // entries of the store's region, which hear first, tell hosts everywhere. All
  // hosts of the other regions then asked far away, at the same moment.
  void PrefersRowsFromLocalEntries() {
    ChangeWatch watch = KnownWatch(1);
    CPPUNIT_ASSERT(!TakeTold(watch, true, 1, kStart));
    CPPUNIT_ASSERT(!TakeTold(watch, false, 7, kStart + 1s));
    CPPUNIT_ASSERT(TakeTold(watch, true, 7, kStart + 1200ms));
    CPPUNIT_ASSERT(LeavesStoreAlone(watch, 0, kStart + 6s));
  }

  void FetchesFromRemoteEntriesWithoutLocalOnes() {
    ChangeWatch watch = KnownWatch(1);
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, kStart));
    CPPUNIT_ASSERT(!TakeTold(watch, true, 1, kStart + 1s));
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, kStart + 4s));
  }

  void KnownRevisionsCauseNoFetch() {
    ChangeWatch watch = KnownWatch(7);
    CPPUNIT_ASSERT(!TakeTold(watch, false, 7, kStart));
    CPPUNIT_ASSERT(!TakeTold(watch, true, 6, kStart));
  }

  void FirstRowsAreFetchedFromAnyEntry() {
    ChangeWatch watch;
    watch.m_started = kStart;
    CPPUNIT_ASSERT(TakeTold(watch, true, 0, kStart));
    CPPUNIT_ASSERT(TakeTold(watch, true, 0, kStart + 1s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeSourceTest);

}  // namespace
}  // namespace verbenalead::decide
