#include "decide/reading_turn.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
/// From the question to the store until the others hear of its answer.
constexpr Duration kTakeoverLatency = 120ms;
constexpr Duration kTick = 50ms;

class ReadingTurnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadingTurnTest);
  CPPUNIT_TEST(OneEntryTakesOverFromLostReader);
  CPPUNIT_TEST(AllReadWithoutAnnouncements);
  CPPUNIT_TEST(ReadsImmediatelyAfterStart);
  CPPUNIT_TEST(ReturnsToPeerReader);
  CPPUNIT_TEST(FewEntriesPollUnavailableStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Users pay for 1,800 questions to a store that is away for 5 s: 15 entries
  // of each data centre ask four times a second. Two of them find its return;
  // the others ask less than once a second, each at another time.
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

  // Callers are served by a configuration that is many seconds old: the entry
  // that reads the store for its 14 neighbours loses it. All 14 turned to the
  // store at once, filled the link to it, and none was answered in time.
  void OneEntryTakesOverFromLostReader() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountReaders(true));
  }

  // Changes would stay unknown: no neighbour gets an answer. Within 0.35 s each
  // entry asks for itself.
  void AllReadWithoutAnnouncements() {
    CPPUNIT_ASSERT_EQUAL(size_t{14}, CountReaders(false));
  }

  void ReadsImmediatelyAfterStart() {
    ReadingTurn failover;
    CPPUNIT_ASSERT(NextReading(failover, false, 9, kStart) == Reading::kOwn);
  }

  void ReturnsToPeerReader() {
    ReadingTurn failover;
    NextReading(failover, true, 9, kStart);
    CPPUNIT_ASSERT(NextReading(failover, false, 9, kStart) ==
                   Reading::kWaiting);
    CPPUNIT_ASSERT(NextReading(failover, true, 9, kStart + kTick) ==
                   Reading::kFromPeer);
    CPPUNIT_ASSERT(NextReading(failover, false, 9, kStart + 1s) ==
                   Reading::kWaiting);
  }

 private:
  /// Entries that asked the store within a second after the reader was lost;
  /// `heard`: the others hear of the first that took over.
  size_t CountReaders(bool announced) {
    std::vector<ReadingTurn> failovers(14);
    std::vector<bool> has_read(14);
    for (ReadingTurn& failover : failovers)
      NextReading(failover, true, 0, kStart);
    TimePoint first{};
    for (TimePoint now = kStart; now < kStart + 1s; now += kTick) {
      const bool has_reader =
          announced && first != TimePoint() && now >= first + kTakeoverLatency;
      for (size_t entry = 0; entry < failovers.size(); ++entry) {
        if (NextReading(failovers[entry], has_reader, entry + 1, now) !=
            Reading::kOwn)
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

CPPUNIT_TEST_SUITE_REGISTRATION(ReadingTurnTest);

}  // namespace
}  // namespace verbenalead::decide
