#include "decide/reading_turn.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
/// From the question to the store until the others hear of its answer.
constexpr Duration kTakesOver = 120ms;
constexpr Duration kTick = 50ms;

class ReadingTurnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadingTurnTest);
  CPPUNIT_TEST(OneTakesOverWhereTheReaderIsLost);
  CPPUNIT_TEST(AllReadWhereNobodyCanTell);
  CPPUNIT_TEST(ReadsAtOnceAfterItsStart);
  CPPUNIT_TEST(ReturnsToThePeerThatReads);
  CPPUNIT_TEST(FewAskAStoreThatIsAway);
  CPPUNIT_TEST(ALinkIsNotFilledByAllThatTookOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Users pay for 1,800 questions to a store that is away for 5 s: 15 entries
  // of each data centre ask four times a second. Two of them find its return;
  // the others ask less than once a second, each at another time.
  void FewAskAStoreThatIsAway() {
    size_t quick = 0;
    for (size_t before = 0; before < 15; ++before) {
      const Duration pause = PauseAfterFailure(before, 0.5);
      quick += pause == Duration() ? 1 : 0;
      CPPUNIT_ASSERT(pause < Duration(2s));
      CPPUNIT_ASSERT(pause == Duration() || pause > Duration(1s));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, quick);
    CPPUNIT_ASSERT(PauseAfterFailure(9, 0.1) < PauseAfterFailure(9, 0.9));
  }

  // Streams stand still and new weights come seconds late: the entry that reads
  // died, and 11 entries each read a configuration of 520 KB on the wire again
  // with each of its changes, over a link of 24 Mbit/s.
  void ALinkIsNotFilledByAllThatTookOver() {
    constexpr double kLink = 24e6 / 8;
    constexpr double kBytes = 520e3;
    double rate = 0;
    for (size_t before = 0; before < 11; ++before) {
      const Duration pause = PauseAfterAnswer(before, 400ms, 0.5);
      CPPUNIT_ASSERT(pause <= Duration(1800ms));
      rate += kBytes / std::chrono::duration<double>(pause).count();
    }
    // All of them together no more than twice what the link carries: they stop
    // once one is answered, as it then reads for the others.
    CPPUNIT_ASSERT(rate < 2 * kLink);
    CPPUNIT_ASSERT(rate < 11 * kBytes / 0.4 / 2);
    // Those that come first read at once what has changed.
    CPPUNIT_ASSERT(PauseAfterAnswer(0, 400ms, 0.5) == Duration(400ms));
    CPPUNIT_ASSERT(PauseAfterAnswer(9, 5s, 0.5) == Duration(5s));
  }

  // Callers are served by a configuration that is many seconds old: the entry
  // that reads the store for its 14 neighbours loses it. All 14 turned to the
  // store at once, filled the link to it, and none was answered in time.
  void OneTakesOverWhereTheReaderIsLost() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountReaders(true));
  }

  // Changes would stay unknown: no neighbour gets an answer. Within 0.9 s each
  // entry asks for itself.
  void AllReadWhereNobodyCanTell() {
    CPPUNIT_ASSERT_EQUAL(size_t{14}, CountReaders(false));
  }

  void ReadsAtOnceAfterItsStart() {
    ReadingTurn turn;
    CPPUNIT_ASSERT(NextReading(turn, false, 9, kStart) == Reading::kOwn);
  }

  void ReturnsToThePeerThatReads() {
    ReadingTurn turn;
    NextReading(turn, true, 9, kStart);
    CPPUNIT_ASSERT(NextReading(turn, false, 9, kStart) == Reading::kWaiting);
    CPPUNIT_ASSERT(NextReading(turn, true, 9, kStart + kTick) ==
                   Reading::kFromPeer);
    CPPUNIT_ASSERT(NextReading(turn, false, 9, kStart + 1s) ==
                   Reading::kWaiting);
  }

 private:
  /// Entries that asked the store within a second after the reader was lost;
  /// `heard`: the others hear of the first that took over.
  size_t CountReaders(bool heard) {
    std::vector<ReadingTurn> turns(14);
    std::vector<bool> asked(14);
    for (ReadingTurn& turn : turns)
      NextReading(turn, true, 0, kStart);
    TimePoint first{};
    for (TimePoint now = kStart; now < kStart + 1s; now += kTick) {
      const bool has_reader =
          heard && first != TimePoint() && now >= first + kTakesOver;
      for (size_t entry = 0; entry < turns.size(); ++entry) {
        if (NextReading(turns[entry], has_reader, entry + 1, now) !=
            Reading::kOwn)
          continue;
        asked[entry] = true;
        if (first == TimePoint())
          first = now;
      }
    }
    return static_cast<size_t>(std::count(asked.begin(), asked.end(), true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadingTurnTest);

}  // namespace
}  // namespace verbenalead::decide
