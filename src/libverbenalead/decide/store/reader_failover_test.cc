#include "decide/store/reader_failover.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
/// Time from the request to the store until the other entries learn of its
/// response.
constexpr Duration kTakeoverLatency = 120ms;
constexpr Duration kTick = 50ms;

class ReaderFailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderFailoverTest);
  CPPUNIT_TEST(OneEntryTakesOverFromLostReader);
  CPPUNIT_TEST(AllReadWithoutAnnouncements);
  CPPUNIT_TEST(ReadsImmediatelyAfterStart);
  CPPUNIT_TEST(ReturnsToPeerReader);
  CPPUNIT_TEST(FewEntriesPollUnavailableStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against 1,800 paid requests to a store that is unavailable for 5 s:
  // 15 entries of each data centre poll it four times a second. Two entries
  // have to poll at the usual rate to detect its return; the others poll less
  // than once a second, each at another time.
  void FewEntriesPollUnavailableStore() {
    size_t without_pause = 0;
    for (size_t rank = 0; rank < 15; ++rank) {
      const Duration pause = PauseAfterFailure(rank, 0.5);
      without_pause += pause == Duration() ? 1 : 0;
      CPPUNIT_ASSERT(pause < Duration(2s));
      CPPUNIT_ASSERT(pause == Duration() || pause > Duration(1s));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, without_pause);
    CPPUNIT_ASSERT(PauseAfterFailure(9, 0.1) < PauseAfterFailure(9, 0.9));
  }

  // Guards against calls being served by a configuration that is many seconds
  // old: the entry that reads the store for 14 other entries loses it. All 14
  // turned to the store at once and saturated the link to it, and none got a
  // response in time.
  void OneEntryTakesOverFromLostReader() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountReaders(true));
  }

  // Guards against changes that stay unknown because no entry of the data
  // centre gets a response. Each entry must read the store itself within
  // 0.35 s.
  void AllReadWithoutAnnouncements() {
    CPPUNIT_ASSERT_EQUAL(size_t{14}, CountReaders(false));
  }

  void ReadsImmediatelyAfterStart() {
    ReaderFailover failover;
    CPPUNIT_ASSERT(NextReadSource(failover, false, 9, kStart) ==
                   ReadSource::kFromStore);
  }

  void ReturnsToPeerReader() {
    ReaderFailover failover;
    NextReadSource(failover, true, 9, kStart);
    CPPUNIT_ASSERT(NextReadSource(failover, false, 9, kStart) ==
                   ReadSource::kWaiting);
    CPPUNIT_ASSERT(NextReadSource(failover, true, 9, kStart + kTick) ==
                   ReadSource::kFromPeer);
    CPPUNIT_ASSERT(NextReadSource(failover, false, 9, kStart + 1s) ==
                   ReadSource::kWaiting);
  }

 private:
  /// Number of entries that read the store within a second after the loss of
  /// the reader. `announced`: the others learn of the first entry that takes
  /// over.
  size_t CountReaders(bool announced) {
    std::vector<ReaderFailover> failovers(14);
    std::vector<bool> has_read(14);
    for (ReaderFailover& failover : failovers)
      NextReadSource(failover, true, 0, kStart);
    TimePoint first{};
    for (TimePoint now = kStart; now < kStart + 1s; now += kTick) {
      const bool has_reader =
          announced && first != TimePoint() && now >= first + kTakeoverLatency;
      for (size_t entry = 0; entry < failovers.size(); ++entry) {
        if (NextReadSource(failovers[entry], has_reader, entry + 1, now) !=
            ReadSource::kFromStore)
          continue;
        has_read[entry] = true;
        if (first == TimePoint())
          first = now;
      }
    }
    return static_cast<size_t>(
        std::count(has_read.begin(), has_read.end(), true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderFailoverTest);

}  // namespace
}  // namespace verbenalead::decide
