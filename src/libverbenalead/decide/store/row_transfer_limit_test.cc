#include "decide/store/row_transfer_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace verbenalead::decide {
namespace {

/// Entries of a data centre: 630 hosts run entries, in six data centres.
constexpr size_t kEntries = 105;
/// The narrowest link of an entry, and the compressed size of a table of 3,000
/// replicas with a large configuration.
constexpr double kLinkBytesPerS = 5e6;
constexpr uint64_t kTableBytes = 160'000;
constexpr Duration kTick = 5ms;
/// Time until the other entries learn that an entry has the table.
constexpr Duration kAnnouncementDelay = 105ms;
/// All entries must have the table within 1.5 s after the first one. Including
/// the time in which the first entry reads it from the store, all entries then
/// serve after 2.5 s.
constexpr Duration kMaxDistributionTime = 1500ms;
constexpr Duration kSimulationLimit = 20s;

/// Simulates, in virtual time, entries of one data centre that send a table to
/// each other, each over its own link. The first entry has it at the start.
class DistributionSimulation {
 public:
  explicit DistributionSimulation(uint64_t seed)
      : m_random(seed), m_entries(kEntries) {
    m_entries[0].m_complete_at = TimePoint();
  }

  /// Time until the last entry has the table.
  Duration Play() {
    size_t holders = 1;
    while (holders < kEntries && m_now - TimePoint() < kSimulationLimit) {
      m_now += kTick;
      for (size_t entry = 1; entry < kEntries; ++entry)
        Ask(entry);
      holders += Send();
    }
    return m_now - TimePoint();
  }

 private:
  struct Entry {
    RowTransferLimit m_pace;
    TimePoint m_complete_at = TimePoint::max();
    TimePoint m_retry_at{};
    bool m_fetching = false;
    std::vector<std::pair<size_t, double>> m_transfers;
  };

  void Ask(size_t index) {
    Entry& entry = m_entries[index];
    if (entry.m_complete_at != TimePoint::max() || entry.m_fetching ||
        entry.m_retry_at > m_now)
      return;
    std::vector<size_t> sources;
    for (size_t other = 0; other < kEntries; ++other) {
      const TimePoint complete_at = m_entries[other].m_complete_at;
      if (complete_at != TimePoint::max() &&
          complete_at + kAnnouncementDelay <= m_now)
        sources.push_back(other);
    }
    if (sources.empty())
      return;
    Entry& source = m_entries[sources[m_random() % sources.size()]];
    if (!TryAdmitTransfer(source.m_pace, kTableBytes, m_now)) {
      entry.m_retry_at = m_now + DeferralDelay(m_random);
      return;
    }
    entry.m_fetching = true;
    source.m_transfers.emplace_back(index, double{kTableBytes});
  }

  /// Advances all transfers by one tick. Transfers over the same link share its
  /// bandwidth. Returns the number of completed transfers.
  size_t Send() {
    size_t completed = 0;
    const double seconds = std::chrono::duration<double>(kTick).count();
    for (Entry& entry : m_entries) {
      const double share = kLinkBytesPerS * seconds /
                           std::max<double>(1, std::ssize(entry.m_transfers));
      std::erase_if(entry.m_transfers, [&](auto& transfer) {
        transfer.second -= share;
        if (transfer.second > 0)
          return false;
        m_entries[transfer.first].m_complete_at = m_now;
        ++completed;
        return true;
      });
    }
    return completed;
  }

  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::vector<Entry> m_entries;
};

class RowTransferLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowTransferLimitTest);
  CPPUNIT_TEST(SimultaneousStartSaturatesNoLink);
  CPPUNIT_TEST(FewRequestsAreNotDeferred);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls being refused for seconds after all processes have
  // started at once: one entry sends its tables to a hundred others at the same
  // time, and no entry has them before the link has carried all transfers.
  void SimultaneousStartSaturatesNoLink() {
    for (const uint64_t seed : {1, 2, 3, 4, 20261202})
      CPPUNIT_ASSERT(DistributionSimulation(seed).Play() <=
                     kMaxDistributionTime);
  }

  // Guards against late changes in a small data centre, where its few entries
  // would wait for each other.
  void FewRequestsAreNotDeferred() {
    RowTransferLimit limit;
    for (int other = 0; other <= kMaxPendingTransfers; ++other)
      CPPUNIT_ASSERT(TryAdmitTransfer(limit, kTableBytes, TimePoint()));
    CPPUNIT_ASSERT(!TryAdmitTransfer(limit, kTableBytes, TimePoint()));
    CPPUNIT_ASSERT(TryAdmitTransfer(limit, kTableBytes, TimePoint() + 1s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowTransferLimitTest);

}  // namespace
}  // namespace verbenalead::decide
