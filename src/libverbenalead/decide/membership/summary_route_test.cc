#include "decide/membership/summary_route.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace verbenalead::decide {
namespace {

constexpr Duration kTick = 100ms;
/// Time without updates after which an entry is considered lost by entries of
/// its own data centre, and by remote entries.
constexpr Duration kLocalPeerTimeout = 1300ms;
constexpr Duration kRemotePeerTimeout = 8s;

/// Simulates entries of several data centres that send summaries to each other
/// by datagrams, some of which are lost. Entries of one data centre receive
/// each other's updates at every tick.
class SummaryFleet {
 public:
  SummaryFleet(uint64_t seed, int data_centers, int entries, int lost_percent)
      : m_random(seed), m_lost_percent(lost_percent) {
    for (int center = 0; center < data_centers; ++center) {
      for (int entry = 0; entry < entries; ++entry) {
        Entry& added = m_entries[std::to_string(center) + "-" +
                                 std::to_string(100 + entry)];
        added.m_data_center = std::to_string(center);
      }
    }
    for (auto& [host, entry] : m_entries) {
      for (const auto& [other, ignored] : m_entries) {
        entry.m_ready[other] = true;
        entry.m_last_seen_at[other] = m_now;
      }
      for (int center = 0; center < data_centers; ++center)
        entry.m_summary_at[std::to_string(center)] = m_now;
    }
  }

  /// Kills a share of all entries, but leaves at least one of each data centre
  /// alive.
  void Kill(int percent) {
    std::set<std::string> centers_with_survivor;
    for (auto& [host, entry] : m_entries) {
      if (centers_with_survivor.insert(entry.m_data_center).second)
        continue;
      entry.m_dead = Chance(percent);
    }
    // The first entry of a data centre was spared above and is the sender. Kill
    // it too if other entries of its data centre are alive.
    for (auto& [host, entry] : m_entries) {
      if (centers_with_survivor.erase(entry.m_data_center) > 0)
        entry.m_dead = CountAlive(entry.m_data_center) > 1;
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kTick) {
      ExchangeLocalHeartbeats();
      for (auto& [host, entry] : m_entries) {
        if (!entry.m_dead)
          Tell(host, entry);
      }
      RecordSummaryAges();
    }
  }

  /// The longest time for which a living entry received no summary of another
  /// data centre.
  Duration max_summary_age() const { return m_max_summary_age; }
  uint64_t sent() const { return m_sent; }

 private:
  struct Entry {
    std::string m_data_center;
    bool m_dead = false;
    TimePoint m_sent_at{};
    std::map<std::string, TimePoint> m_last_seen_at;
    std::map<std::string, bool> m_ready;
    std::map<std::string, TimePoint> m_summary_at;
  };

  bool Chance(int percent) {
    return static_cast<int>(m_random() % 100) < percent;
  }

  int CountAlive(const std::string& data_center) const {
    return static_cast<int>(std::count_if(
        m_entries.begin(), m_entries.end(), [&](const auto& each) {
          return !each.second.m_dead &&
                 each.second.m_data_center == data_center;
        }));
  }

  void ExchangeLocalHeartbeats() {
    for (auto& [host, entry] : m_entries) {
      for (const auto& [other, other_entry] : m_entries) {
        if (!other_entry.m_dead &&
            other_entry.m_data_center == entry.m_data_center)
          entry.m_last_seen_at[other] = m_now;
      }
    }
  }

  bool IsHeard(const Entry& entry, const std::string& other) const {
    const bool same_data_center =
        m_entries.at(other).m_data_center == entry.m_data_center;
    return m_now - entry.m_last_seen_at.at(other) <
           (same_data_center ? kLocalPeerTimeout : kRemotePeerTimeout);
  }

  std::vector<SummaryPeer> PeersOf(const std::string& host,
                                   const Entry& entry) const {
    std::vector<SummaryPeer> peers;
    for (const auto& [other, other_entry] : m_entries) {
      if (other != host) {
        peers.push_back({other, other_entry.m_data_center,
                         IsHeard(entry, other), entry.m_ready.at(other)});
      }
    }
    return peers;
  }

  void Tell(const std::string& host, Entry& entry) {
    const std::vector<SummaryPeer> peers = PeersOf(host, entry);
    if (!IsSummarySender(host, entry.m_data_center, peers) ||
        !IsSummaryDue(entry.m_sent_at, false, m_now))
      return;
    entry.m_sent_at = m_now;
    std::set<std::string> listed = {host};
    for (const SummaryPeer& peer : peers) {
      if (peer.m_recently_seen && peer.m_data_center == entry.m_data_center)
        listed.insert(peer.m_host);
    }
    for (const std::string& recipient :
         SummaryRecipients(entry.m_data_center, peers, m_random)) {
      ++m_sent;
      if (!m_entries.at(recipient).m_dead && !Chance(m_lost_percent))
        Relay(recipient, entry.m_data_center, listed);
    }
  }

  void Relay(const std::string& recipient,
             const std::string& data_center,
             const std::set<std::string>& listed) {
    const std::string& recipient_data_center =
        m_entries.at(recipient).m_data_center;
    for (auto& [host, entry] : m_entries) {
      if (entry.m_data_center != recipient_data_center ||
          (host != recipient && Chance(m_lost_percent)))
        continue;
      entry.m_summary_at[data_center] = m_now;
      for (const auto& [other, other_entry] : m_entries) {
        if (other_entry.m_data_center == data_center)
          entry.m_ready[other] = listed.contains(other);
      }
      for (const std::string& other : listed)
        entry.m_last_seen_at[other] = m_now;
    }
  }

  void RecordSummaryAges() {
    for (const auto& [host, entry] : m_entries) {
      if (entry.m_dead)
        continue;
      for (const auto& [data_center, at] : entry.m_summary_at) {
        if (data_center != entry.m_data_center)
          m_max_summary_age = std::max<Duration>(m_max_summary_age, m_now - at);
      }
    }
  }

  std::mt19937_64 m_random;
  const int m_lost_percent;
  std::map<std::string, Entry> m_entries;
  TimePoint m_now{std::chrono::hours(1)};
  Duration m_max_summary_age{};
  uint64_t m_sent = 0;
};

class SummaryRouteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SummaryRouteTest);
  CPPUNIT_TEST(FirstReadyEntrySends);
  CPPUNIT_TEST(EachOtherDataCenterHasRecipients);
  CPPUNIT_TEST(LoadChangesAreSentSooner);
  CPPUNIT_TEST(SummariesArriveWhenEntriesDie);
  CPPUNIT_TEST(MessagesGrowWithDataCentersOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstReadyEntrySends() {
    std::vector<SummaryPeer> peers = {{"a1", "a", true, true},
                                      {"b1", "b", true, true}};
    CPPUNIT_ASSERT(!IsSummarySender("a2", "a", peers));
    peers[0].m_ready = false;
    CPPUNIT_ASSERT(IsSummarySender("a2", "a", peers));
    peers[0] = {"a1", "a", false, true};
    CPPUNIT_ASSERT(IsSummarySender("a2", "a", peers));
  }

  void EachOtherDataCenterHasRecipients() {
    const std::vector<SummaryPeer> peers = {{"a2", "a", true, true},
                                            {"b1", "b", false, true},
                                            {"b2", "b", true, false},
                                            {"b3", "b", true, true},
                                            {"c1", "c", false, false}};
    // If no entry is known to take calls, any listed entry may be a recipient.
    CPPUNIT_ASSERT(SummaryRecipients("a", peers, m_random) ==
                   std::vector<std::string>({"b3", "c1"}));
  }

  void LoadChangesAreSentSooner() {
    const TimePoint sent = TimePoint() + 5s;
    CPPUNIT_ASSERT(!IsSummaryDue(sent, true, sent + 200ms));
    CPPUNIT_ASSERT(IsSummaryDue(sent, true, sent + 250ms));
    CPPUNIT_ASSERT(!IsSummaryDue(sent, false, sent + 900ms));
    CPPUNIT_ASSERT(IsSummaryDue(sent, false, sent + 1s));
  }

  // Guards against an entry that receives no summaries and therefore considers
  // all remote entries lost, so that it has nowhere to send calls when its data
  // centre loses its entries. A third of all entries die without notice, the
  // senders among them, and one datagram in twenty is lost at each step. The
  // living entries must still receive summaries of each data centre before they
  // would consider it lost.
  void SummariesArriveWhenEntriesDie() {
    const bool held = rc::check("nobody stays blind", [] {
      SummaryFleet fleet(*rc::gen::arbitrary<uint64_t>(),
                         *rc::gen::inRange(2, 6), *rc::gen::inRange(4, 20), 5);
      fleet.Run(5s);
      fleet.Kill(33);
      fleet.Run(10s);
      RC_ASSERT(fleet.max_summary_age() < kRemotePeerTimeout);
    });
    CPPUNIT_ASSERT(held);
  }

  // Guards against saturated links between regions: when each entry sends
  // updates to each remote entry, the messages grow with the square of the
  // fleet. With summaries, their number is the same for 100 entries and for
  // 300.
  void MessagesGrowWithDataCentersOnly() {
    for (const int entries : {20, 60}) {
      SummaryFleet fleet(7, 5, entries, 0);
      fleet.Run(10s);
      CPPUNIT_ASSERT(fleet.sent() <= 60 * 10);
    }
  }

 private:
  std::mt19937_64 m_random{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SummaryRouteTest);

}  // namespace
}  // namespace verbenalead::decide
