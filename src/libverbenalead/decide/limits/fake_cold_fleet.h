#ifndef VERBENALEAD_DECIDE_LIMITS_FAKE_COLD_FLEET_H_
#define VERBENALEAD_DECIDE_LIMITS_FAKE_COLD_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "decide/limits/cold_state.h"
#include "decide/limits/rate_holder.h"

namespace verbenalead::decide {

struct ColdFleetSettings {
  uint32_t m_entries = 8;
  uint32_t m_replicas = 4;
  ColdLimits m_limits = {14, 1.5, 5};
  /// Calls per second for each replica, of all entries together.
  double m_demand = 60;
  /// Target processes hold the buckets; otherwise entries do.
  bool m_has_targets = true;
  /// Time from the beginning at which the holders fail: target processes are
  /// killed and run again a second later; of the entries, the holder of the
  /// first replica is killed.
  std::optional<Duration> m_kill_at;
  /// The holder of the first replica, or with targets any entry, stands still
  /// between these times.
  std::optional<std::pair<Duration, Duration>> m_pause;
  /// An entry starts that becomes the holder of the first replica.
  std::optional<Duration> m_start_at;
  /// From this time on the entry that is first in rank for the first replica
  /// isn't heard by the second any more, but hears it.
  std::optional<Duration> m_cut_at;
  /// No calls come between these times, so that the buckets are full at the
  /// end.
  std::pair<Duration, Duration> m_idle{};
  Duration m_duration = 12s;
  uint64_t m_seed = 1;
};

/// A simulated fleet of entries that send calls to replicas which become cold
/// together. Each call is under way for up to 100 ms after its grant.
class FakeColdFleet {
 public:
  static constexpr Duration kUpdateInterval = 400ms;
  static constexpr Duration kPeerTimeout = 1300ms;
  static constexpr Duration kAnswerTimeout = 40ms;
  static constexpr Duration kSilentHoldOff = 500ms;
  static constexpr Duration kWrongHolderHoldOff = 200ms;
  static constexpr Duration kRestartTime = 1s;

  explicit FakeColdFleet(ColdFleetSettings settings)
      : m_settings(settings),
        m_random(settings.m_seed),
        m_arrivals(settings.m_replicas),
        m_targets(settings.m_replicas) {
    for (uint32_t i = 0; i < settings.m_entries; ++i)
      m_entries.push_back(MakeEntry("e" + std::to_string(i)));
  }

  void Run() {
    for (size_t entry = 0; entry < m_entries.size(); ++entry)
      At(m_now + Random(0ms, kUpdateInterval), [=, this] { Update(entry); });
    ScheduleDisruptions();
    for (size_t replica = 0; replica < m_settings.m_replicas; ++replica)
      ScheduleCall(replica);
    while (!m_events.empty() && m_events.begin()->first <= End()) {
      const auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
  }

  static TimePoint Start() { return TimePoint() + 3600s; }
  TimePoint End() const { return Start() + m_settings.m_duration; }

  /// Most arrivals at one replica in any second.
  size_t WorstSecond() const {
    size_t worst = 0;
    for (const auto& arrivals : m_arrivals) {
      std::vector<TimePoint> times = arrivals;
      std::sort(times.begin(), times.end());
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= 1s)
          ++first;
        worst = std::max(worst, last - first + 1);
      }
    }
    return worst;
  }

  /// The least share of the cold rate that a replica got after `from`.
  double LeastUse(Duration from) const {
    const double seconds =
        std::chrono::duration<double>(m_settings.m_duration - from).count();
    double least = 1e9;
    for (const auto& arrivals : m_arrivals) {
      const auto count =
          std::count_if(arrivals.begin(), arrivals.end(),
                        [&](TimePoint at) { return at >= Start() + from; });
      least = std::min(least, static_cast<double>(count) /
                                  (m_settings.m_limits.m_rate * seconds));
    }
    return least;
  }

 private:
  struct Entry {
    std::string m_name;
    bool m_alive = true;
    TimePoint m_paused_until{};
    /// When each other entry was last heard.
    std::map<size_t, TimePoint> m_heard;
    /// By replica.
    std::map<size_t, TimePoint> m_held_until;
    std::map<size_t, RateGate> m_gates;
    std::map<size_t, HolderTerm> m_terms;
    std::map<size_t, std::map<std::string, HolderClaim>> m_claims;
  };

  struct Verdict {
    bool m_granted = false;
    Duration m_hold_off{};
  };

  static Entry MakeEntry(const std::string& name) {
    Entry entry;
    entry.m_name = name;
    return entry;
  }

  static std::string ReplicaName(size_t replica) {
    return "i-" + std::to_string(replica);
  }

  void At(TimePoint time, std::function<void()> event) {
    m_events.emplace(time, std::move(event));
  }

  /// Runs `event` at `entry` when a datagram arrives, or after its pause.
  void Deliver(size_t entry, std::function<void()> event) {
    At(std::max(m_now + Random(200us, 3ms), m_entries[entry].m_paused_until),
       [this, entry, event = std::move(event)] {
         if (m_now < m_entries[entry].m_paused_until)
           Deliver(entry, event);
         else if (m_entries[entry].m_alive)
           event();
       });
  }

  Duration Random(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<int64_t>(
        least.count(), most.count())(m_random));
  }

  GateLimit Limit() const {
    return EffectiveLimit(std::nullopt, ColdByAnswer(kMaxColdTime, Start()),
                          m_settings.m_limits, m_now);
  }

  std::vector<SummaryPeer> PeersOf(size_t entry) const {
    std::vector<SummaryPeer> peers = {
        {m_entries[entry].m_name, "a", true, true}};
    for (const auto& [other, at] : m_entries[entry].m_heard) {
      peers.push_back(
          {m_entries[other].m_name, "a", m_now - at < kPeerTimeout, true});
    }
    return peers;
  }

  std::string HolderOf(size_t entry, size_t replica) const {
    return RateHolder(ReplicaName(replica), "a", PeersOf(entry)).value_or("");
  }

  bool HoldsBucket(size_t entry, size_t replica) const {
    const Entry& self = m_entries[entry];
    const auto claims = self.m_claims.find(replica);
    return HolderOf(entry, replica) == self.m_name &&
           (claims == self.m_claims.end() ||
            IsAgreedHolder(claims->second, self.m_name, m_now));
  }

  size_t IndexOf(const std::string& name) const {
    size_t index = 0;
    while (index < m_entries.size() && m_entries[index].m_name != name)
      ++index;
    return index;
  }

  /// Sends the others an update, and confirms the terms of held buckets.
  void Update(size_t entry) {
    Entry& self = m_entries[entry];
    if (!self.m_alive)
      return;
    if (m_now < self.m_paused_until) {
      // Datagrams that arrived meanwhile are handled a little later.
      At(self.m_paused_until, [=, this] { Update(entry); });
      return;
    }
    if (!m_settings.m_has_targets)
      ConfirmTerms(entry);
    for (size_t other = 0; other < m_entries.size(); ++other) {
      if (other == entry || (entry == m_cut_from && other == m_cut_to))
        continue;
      if (m_now < m_entries[other].m_paused_until)
        Deliver(other, [=, this] { Hear(other, entry); });
      else
        Hear(other, entry);
    }
    At(m_now + kUpdateInterval, [=, this] { Update(entry); });
  }

  void Hear(size_t entry, size_t other) {
    Entry& self = m_entries[entry];
    self.m_heard[other] = m_now;
    for (const auto& [replica, holder] : m_holders_of[other])
      self.m_claims[replica][m_entries[other].m_name] = {holder, m_now};
  }

  void ConfirmTerms(size_t entry) {
    Entry& self = m_entries[entry];
    for (size_t replica = 0; replica < m_settings.m_replicas; ++replica) {
      m_holders_of[entry][replica] = HolderOf(entry, replica);
      if (!HoldsBucket(entry, replica))
        self.m_terms.erase(replica);
      else if (ConfirmTerm(self.m_terms[replica], m_now))
        self.m_gates.erase(replica);
    }
  }

  void ScheduleDisruptions() {
    if (m_settings.m_kill_at)
      At(Start() + *m_settings.m_kill_at, [this] { Kill(); });
    if (m_settings.m_pause) {
      At(Start() + m_settings.m_pause->first, [this] {
        m_entries[FirstHolder()].m_paused_until =
            Start() + m_settings.m_pause->second;
      });
    }
    if (m_settings.m_start_at)
      At(Start() + *m_settings.m_start_at, [this] { StartEntry(); });
    if (m_settings.m_cut_at)
      At(Start() + *m_settings.m_cut_at, [this] { Cut(); });
  }

  /// The entry that holds the bucket of the first replica.
  size_t FirstHolder() const { return IndexOf(HolderOf(0, 0)); }

  void Kill() {
    if (!m_settings.m_has_targets) {
      m_entries[FirstHolder()].m_alive = false;
      return;
    }
    m_targets_down_until = m_now + kRestartTime;
    for (RateGate& gate : m_targets)
      gate = {};
  }

  /// Starts an entry whose name makes it the holder of the first replica.
  void StartEntry() {
    const size_t added = m_entries.size();
    std::vector<SummaryPeer> peers = PeersOf(0);
    std::string name;
    for (int i = 0; name.empty(); ++i) {
      const std::string candidate = "n" + std::to_string(i);
      std::vector<SummaryPeer> all = peers;
      all.push_back({candidate, "a", true, true});
      if (RateHolder(ReplicaName(0), "a", all) == candidate)
        name = candidate;
    }
    m_entries.push_back(MakeEntry(name));
    for (size_t other = 0; other < added; ++other)
      m_entries[added].m_heard[other] = m_now;
    Update(added);
  }

  void Cut() {
    m_cut_from = FirstHolder();
    std::vector<SummaryPeer> others = PeersOf(m_cut_from);
    others.erase(others.begin());
    m_cut_to = IndexOf(RateHolder(ReplicaName(0), "a", others).value_or(""));
  }

  void ScheduleCall(size_t replica) {
    std::exponential_distribution<double> gap(m_settings.m_demand);
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(m_random)));
    At(m_now + wait, [this, replica] {
      if (m_now < Start() + m_settings.m_idle.first ||
          m_now >= Start() + m_settings.m_idle.second)
        Call(m_random() % m_entries.size(), replica);
      ScheduleCall(replica);
    });
  }

  void Call(size_t entry, size_t replica) {
    Entry& self = m_entries[entry];
    if (!self.m_alive || m_now < self.m_paused_until ||
        m_now < self.m_held_until[replica])
      return;
    // Until an answer comes, calls of the entry may ask as well.
    const auto answered = std::make_shared<bool>(false);
    if (m_settings.m_has_targets) {
      At(m_now + Random(200us, 3ms), [=, this] {
        if (m_now >= m_targets_down_until)
          Answer(entry, replica, Decide(m_targets[replica]), answered);
      });
    } else {
      const size_t holder = IndexOf(HolderOf(entry, replica));
      if (holder == entry) {
        Finish(entry, replica, DecideAt(entry, replica));
        return;
      }
      Deliver(holder, [=, this] {
        Answer(entry, replica, DecideAt(holder, replica), answered);
      });
    }
    At(m_now + kAnswerTimeout, [=, this] {
      if (!std::exchange(*answered, true))
        m_entries[entry].m_held_until[replica] = m_now + kSilentHoldOff;
    });
  }

  Verdict DecideAt(size_t entry, size_t replica) {
    Entry& self = m_entries[entry];
    if (!HoldsBucket(entry, replica))
      return {false, kWrongHolderHoldOff};
    HolderTerm& term = self.m_terms[replica];
    if (ConfirmTerm(term, m_now))
      self.m_gates.erase(replica);
    const Duration pause = TermPauseLeft(term, m_now);
    if (pause > Duration())
      return {false, pause};
    return Decide(self.m_gates[replica]);
  }

  Verdict Decide(RateGate& gate) {
    SetLimit(gate, Limit(), m_now);
    if (!HasToken(gate, m_now))
      return {false, RecordDenial(gate, m_now, m_random)};
    TakeToken(gate, m_now);
    return {true, Duration()};
  }

  void Answer(size_t entry,
              size_t replica,
              const Verdict& verdict,
              const std::shared_ptr<bool>& answered) {
    Deliver(entry, [=, this] {
      if (!std::exchange(*answered, true))
        Finish(entry, replica, verdict);
    });
  }

  void Finish(size_t entry, size_t replica, const Verdict& verdict) {
    if (!verdict.m_granted) {
      TimePoint& held = m_entries[entry].m_held_until[replica];
      held = std::max(held, m_now + verdict.m_hold_off);
      return;
    }
    At(m_now + Random(1ms, 90ms),
       [=, this] { m_arrivals[replica].push_back(m_now); });
  }

  const ColdFleetSettings m_settings;
  std::mt19937_64 m_random;
  std::vector<Entry> m_entries;
  std::vector<std::vector<TimePoint>> m_arrivals;
  std::vector<RateGate> m_targets;
  TimePoint m_targets_down_until{};
  /// Whom each entry takes for the holder of each replica.
  std::map<size_t, std::map<size_t, std::string>> m_holders_of;
  size_t m_cut_from = SIZE_MAX;
  size_t m_cut_to = SIZE_MAX;
  std::multimap<TimePoint, std::function<void()>> m_events;
  TimePoint m_now = Start();
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_FAKE_COLD_FLEET_H_
