#include "decide/fetch_window.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr uint32_t kMost = 5;
constexpr Duration kSlow = 520ms;
constexpr uint64_t kChunk = 49152;
constexpr uint64_t kMegabit = 1000 * 1000 / 8;

class FetchWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FetchWindowTest);
  CPPUNIT_TEST(KeepsANarrowLinkFree);
  CPPUNIT_TEST(UsesAWideLinkWhole);
  CPPUNIT_TEST(GrowsAgainWhenTheLinkIsWide);
  CPPUNIT_TEST(StaysAsItIsWhereNoBoundIsSet);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Callers leave before their calls reach the replica: the host's link becomes
  // narrow while new weights come in, and five chunks stand in the queue before
  // each call, 1.6 s long. The window shrinks until a call waits 0.7 s at most.
  void KeepsANarrowLinkFree() {
    FetchWindow window{kMost, kSlow};
    CPPUNIT_ASSERT(QueueAfter(window, 1.2, 3) < 700ms);
  }

  void UsesAWideLinkWhole() {
    FetchWindow window{kMost, kSlow};
    QueueAfter(window, 9.4, 40);
    CPPUNIT_ASSERT_EQUAL(kMost, window.m_size);
  }

  void GrowsAgainWhenTheLinkIsWide() {
    FetchWindow window{kMost, kSlow};
    QueueAfter(window, 1.2, 10);
    QueueAfter(window, 9.4, 4);
    CPPUNIT_ASSERT_EQUAL(kMost, window.m_size);
  }

  void StaysAsItIsWhereNoBoundIsSet() {
    FetchWindow window{kMost, Duration()};
    NoteArrival(window, 20s);
    CPPUNIT_ASSERT_EQUAL(kMost, window.m_size);
  }

 private:
  /// The queue on a link of `megabits` a second after `chunks` came by it.
  static Duration QueueAfter(FetchWindow& window, double megabits, int chunks) {
    Duration queue{};
    for (int chunk = 0; chunk < chunks; ++chunk) {
      queue =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              static_cast<double>(window.m_size * kChunk) /
              (megabits * static_cast<double>(kMegabit))));
      NoteArrival(window, queue);
    }
    return queue;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchWindowTest);

}  // namespace
}  // namespace verbenalead::decide
