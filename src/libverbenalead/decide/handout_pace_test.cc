#include "decide/handout_pace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace verbenalead::decide {
namespace {

/// Entries of a data centre: 630 daemons in six.
constexpr size_t kEntries = 105;
/// The narrowest link of an entry, and a table of 3,000 replicas with a large
/// configuration, compressed.
constexpr double kLinkBytesPerS = 5e6;
constexpr uint64_t kTableBytes = 160'000;
constexpr Duration kTick = 5ms;
/// Others learn so late that an entry has the table.
constexpr Duration kNewsDelay = 105ms;
/// All are to have it within a second and a half after the first: with the time
/// that this one takes to read it from the store, all serve after 2.5 s.
constexpr Duration kAll = 1500ms;
constexpr Duration kGiveUp = 20s;

/// Near entries that hand one table on, each over its own link, in virtual
/// time. The first one has it at the start.
class Handing {
 public:
  explicit Handing(uint64_t seed) : m_random(seed), m_entries(kEntries) {
    m_entries[0].m_known_at = TimePoint();
  }

  /// When the last entry has the table.
  Duration Play() {
    size_t have = 1;
    while (have < kEntries && m_now - TimePoint() < kGiveUp) {
      m_now += kTick;
      for (size_t entry = 1; entry < kEntries; ++entry)
        Ask(entry);
      have += Send();
    }
    return m_now - TimePoint();
  }

 private:
  struct Entry {
    HandoutPace m_pace;
    TimePoint m_known_at = TimePoint::max();
    TimePoint m_asks_at{};
    bool m_fetching = false;
    std::vector<std::pair<size_t, double>> m_sends;
  };

  void Ask(size_t index) {
    Entry& entry = m_entries[index];
    if (entry.m_known_at != TimePoint::max() || entry.m_fetching ||
        entry.m_asks_at > m_now)
      return;
    std::vector<size_t> sources;
    for (size_t other = 0; other < kEntries; ++other) {
      const TimePoint known = m_entries[other].m_known_at;
      if (known != TimePoint::max() && known + kNewsDelay <= m_now)
        sources.push_back(other);
    }
    if (sources.empty())
      return;
    Entry& source = m_entries[sources[m_random() % sources.size()]];
    if (!TakeHandout(source.m_pace, kTableBytes, m_now)) {
      entry.m_asks_at = m_now + PutOffFor(m_random);
      return;
    }
    entry.m_fetching = true;
    source.m_sends.emplace_back(index, double{kTableBytes});
  }

  /// Each link is shared by what goes over it. Returns how many came in.
  size_t Send() {
    size_t came = 0;
    const double seconds = std::chrono::duration<double>(kTick).count();
    for (Entry& entry : m_entries) {
      const double share = kLinkBytesPerS * seconds /
                           std::max<double>(1, std::ssize(entry.m_sends));
      std::erase_if(entry.m_sends, [&](auto& send) {
        send.second -= share;
        if (send.second > 0)
          return false;
        m_entries[send.first].m_known_at = m_now;
        ++came;
        return true;
      });
    }
    return came;
  }

  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::vector<Entry> m_entries;
};

class HandoutPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoutPaceTest);
  CPPUNIT_TEST(AStartOfEverythingFillsNoLink);
  CPPUNIT_TEST(FewAreNotPutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Calls are refused for seconds after a start of everything: one entry hands
  // its tables to a hundred others at once, and none has them before its link
  // has carried all.
  void AStartOfEverythingFillsNoLink() {
    for (const uint64_t seed : {1, 2, 3, 4, 20261202})
      CPPUNIT_ASSERT(Handing(seed).Play() <= kAll);
  }

  // A change is known late in a small data centre: its few entries wait for
  // each other.
  void FewAreNotPutOff() {
    HandoutPace pace;
    for (int other = 0; other <= kMostHandouts; ++other)
      CPPUNIT_ASSERT(TakeHandout(pace, kTableBytes, TimePoint()));
    CPPUNIT_ASSERT(!TakeHandout(pace, kTableBytes, TimePoint()));
    CPPUNIT_ASSERT(TakeHandout(pace, kTableBytes, TimePoint() + 1s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoutPaceTest);

}  // namespace
}  // namespace verbenalead::decide
