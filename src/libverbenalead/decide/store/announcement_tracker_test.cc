#include "decide/store/announcement_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

AnnouncementTracker KnownWatch(uint64_t revision) {
  AnnouncementTracker tracker;
  tracker.m_started = kStart;
  tracker.m_known = true;
  tracker.m_weights_revision = {0, revision};
  return tracker;
}

class AnnouncementTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTrackerTest);
  CPPUNIT_TEST(HostsStartingTogetherWaitForEntries);
  CPPUNIT_TEST(WaitsLongerForEntriesWithoutRows);
  CPPUNIT_TEST(ReadsStoreSeldomWithoutAnnouncements);
  CPPUNIT_TEST(PrefersRowsFromLocalEntries);
  CPPUNIT_TEST(FetchesFromRemoteEntriesWithoutLocalOnes);
  CPPUNIT_TEST(KnownRevisionsCauseNoFetch);
  CPPUNIT_TEST(FirstRowsAreFetchedFromAnyEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers getting no answer for 20 s: after all processes were
  // killed, 127 hosts read 390 KB each over two links. While entries can serve
  // the rows, no host may read the store; if all entries are dead, the hosts
  // read it at different times.
  void HostsStartingTogetherWaitForEntries() {
    AnnouncementTracker tracker;
    tracker.m_started = kStart;
    CPPUNIT_ASSERT(DefersStoreRead(tracker, 0, kStart + 2s));
    CPPUNIT_ASSERT(!DefersStoreRead(tracker, 0, kStart + 2500ms));
    CPPUNIT_ASSERT(DefersStoreRead(tracker, 1, kStart + 4900ms));
    CPPUNIT_ASSERT(!DefersStoreRead(tracker, 1, kStart + 5s));
  }

  // Guards against 200 needless requests to the store: the operator has not
  // written a configuration yet, entries cannot serve one, and all hosts read
  // the store. Hosts have to wait for the entries, but only for a limited time,
  // as the entries may have lost the store.
  void WaitsLongerForEntriesWithoutRows() {
    AnnouncementTracker tracker;
    tracker.m_started = kStart;
    RecordMissingRows(tracker, kStart + 2s);
    CPPUNIT_ASSERT(DefersStoreRead(tracker, 0, kStart + 4s));
    CPPUNIT_ASSERT(!DefersStoreRead(tracker, 0, kStart + 5s));
    RecordMissingRows(tracker, kStart + 30s);
    CPPUNIT_ASSERT(!DefersStoreRead(tracker, 1, kStart + 30s));
  }

  // Guards against calls being served by a configuration that is 3 s old: hosts
  // that receive no announcements poll the store while it changes five times a
  // second. When each host read every change, 100 KB over the link between
  // regions, the link was saturated for 5 s.
  void ReadsStoreSeldomWithoutAnnouncements() {
    const AnnouncementTracker tracker = KnownWatch(1);
    int reads = 0;
    TimePoint next_read = kStart;
    for (TimePoint now = kStart; now < kStart + 6s; now += 200ms) {
      if (now < next_read || DefersStoreRead(tracker, 0, now))
        continue;
      ++reads;
      next_read = now + kUnannouncedReadInterval;
    }
    CPPUNIT_ASSERT(reads <= 4);
    CPPUNIT_ASSERT(reads >= 2);
  }

  // Guards against late configurations in a whole region: new weights are
  // declared, and entries of the store's region, which receive them first,
  // announce them to hosts everywhere. All hosts of the other regions then
  // fetched from remote entries at the same moment.
  void PrefersRowsFromLocalEntries() {
    AnnouncementTracker tracker = KnownWatch(1);
    CPPUNIT_ASSERT(!HandleAnnouncement(tracker, true, {0, 1}, kStart));
    CPPUNIT_ASSERT(!HandleAnnouncement(tracker, false, {0, 7}, kStart + 1s));
    CPPUNIT_ASSERT(HandleAnnouncement(tracker, true, {0, 7}, kStart + 1200ms));
    CPPUNIT_ASSERT(DefersStoreRead(tracker, 0, kStart + 6s));
  }

  void FetchesFromRemoteEntriesWithoutLocalOnes() {
    AnnouncementTracker tracker = KnownWatch(1);
    CPPUNIT_ASSERT(HandleAnnouncement(tracker, false, {0, 7}, kStart));
    CPPUNIT_ASSERT(!HandleAnnouncement(tracker, true, {0, 1}, kStart + 1s));
    CPPUNIT_ASSERT(HandleAnnouncement(tracker, false, {0, 7}, kStart + 4s));
  }

  void KnownRevisionsCauseNoFetch() {
    AnnouncementTracker tracker = KnownWatch(7);
    CPPUNIT_ASSERT(!HandleAnnouncement(tracker, false, {0, 7}, kStart));
    CPPUNIT_ASSERT(!HandleAnnouncement(tracker, true, {0, 6}, kStart));
  }

  void FirstRowsAreFetchedFromAnyEntry() {
    AnnouncementTracker tracker;
    tracker.m_started = kStart;
    CPPUNIT_ASSERT(HandleAnnouncement(tracker, true, {0, 0}, kStart));
    CPPUNIT_ASSERT(HandleAnnouncement(tracker, true, {0, 0}, kStart + 1s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTrackerTest);

}  // namespace
}  // namespace verbenalead::decide
