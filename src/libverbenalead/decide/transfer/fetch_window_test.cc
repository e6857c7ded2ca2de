#include "decide/transfer/fetch_window.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr uint32_t kMaxSize = 5;
constexpr Duration kSlow = 520ms;
constexpr uint64_t kChunk = 49152;
constexpr uint64_t kMegabit = 1000 * 1000 / 8;

class FetchWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FetchWindowTest);
  CPPUNIT_TEST(ShrinksOnANarrowLink);
  CPPUNIT_TEST(KeepsItsFullSizeOnAWideLink);
  CPPUNIT_TEST(GrowsAgainWhenTheLinkRecovers);
  CPPUNIT_TEST(KeepsItsSizeWithoutAThreshold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that disconnect before their calls reach the
  // replica: the bandwidth of the host's link drops during a transfer, and each
  // call waits behind five queued chunks, 1.6 s long. The window shrinks until
  // a call waits 0.7 s at most.
  void ShrinksOnANarrowLink() {
    FetchWindow window{kMaxSize, kSlow};
    CPPUNIT_ASSERT(QueueDelayAfter(window, 1.2, 3) < 700ms);
  }

  void KeepsItsFullSizeOnAWideLink() {
    FetchWindow window{kMaxSize, kSlow};
    QueueDelayAfter(window, 9.4, 40);
    CPPUNIT_ASSERT_EQUAL(kMaxSize, window.m_size);
  }

  void GrowsAgainWhenTheLinkRecovers() {
    FetchWindow window{kMaxSize, kSlow};
    QueueDelayAfter(window, 1.2, 10);
    QueueDelayAfter(window, 9.4, 4);
    CPPUNIT_ASSERT_EQUAL(kMaxSize, window.m_size);
  }

  void KeepsItsSizeWithoutAThreshold() {
    FetchWindow window{kMaxSize, Duration()};
    RecordArrival(window, 20s);
    CPPUNIT_ASSERT_EQUAL(kMaxSize, window.m_size);
  }

 private:
  /// The queueing delay on a link of `megabits` per second after `chunks`
  /// chunks.
  static Duration QueueDelayAfter(FetchWindow& window,
                                  double megabits,
                                  int chunks) {
    Duration queue_delay{};
    for (int chunk = 0; chunk < chunks; ++chunk) {
      queue_delay =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              static_cast<double>(window.m_size * kChunk) /
              (megabits * static_cast<double>(kMegabit))));
      RecordArrival(window, queue_delay);
    }
    return queue_delay;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchWindowTest);

}  // namespace
}  // namespace verbenalead::decide
