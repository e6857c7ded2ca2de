#ifndef VERBENALEAD_DECIDE_HEALTH_FAKE_CRASH_FLEET_H_
#define VERBENALEAD_DECIDE_HEALTH_FAKE_CRASH_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decide/health/crash_causes.h"

namespace verbenalead::decide {

/// A fleet in which requests with one common part crash replicas.
struct CrashFleetSettings {
  uint32_t m_entries = 8;
  uint32_t m_data_centers = 3;
  uint32_t m_replicas = 12;
  double m_calls_per_second = 85;
  /// Share of the calls that have the part.
  double m_bad_share = 0.05;
  /// Share of the datagrams between entries that are lost.
  double m_loss = 0;
  /// All entries restart at this time after the first crash; zero: none does.
  Duration m_restart_at{};
};

struct CrashFleetResult {
  uint32_t m_crashes = 0;
  /// Crashes until the first entry blocked the part.
  uint32_t m_crashes_until_blocked = 0;
  /// Time from the first crash until all entries block the part; negative: they
  /// don't.
  Duration m_blocked_everywhere{-1};
  /// Requests with the part that reached replicas later than 3 s after the
  /// fifth crash.
  uint32_t m_late = 0;
  uint32_t m_sound_calls = 0;
  /// Sound calls that had a part that their entry had blocked.
  uint32_t m_sound_refused = 0;
  /// Sound calls that ended with a replica.
  uint32_t m_sound_lost = 0;
};

/// Entries that know crashes by CrashCauses and tell each other as the entries
/// of the users' platform do: to their own data centre every 0.1 s, and by one
/// entry's summary every 0.25 s to the others. Time is simulated.
class FakeCrashFleet {
 public:
  explicit FakeCrashFleet(const CrashFleetSettings& settings)
      : m_settings(settings),
        m_causes(settings.m_entries),
        m_reports(settings.m_entries),
        m_replicas(settings.m_replicas) {}

  CrashFleetResult Run() {
    for (uint64_t call = 1; m_now < kEnd; ++call) {
      m_now += RandomPause();
      while (!m_events.empty() && m_events.top().m_at <= m_now)
        RunNextEvent();
      Arrive(call);
    }
    return m_result;
  }

 private:
  static constexpr TimePoint kBegin = TimePoint() + 3600s;
  static constexpr TimePoint kBadFrom = kBegin + 5s;
  static constexpr TimePoint kEnd = kBegin + 20s;
  static constexpr Duration kPrefill = 200ms;
  static constexpr Duration kFirstEvent = 60ms;
  static constexpr Duration kRun = 1300ms;
  static constexpr Duration kDown = 2s;
  static constexpr Duration kLocalPeriod = 100ms;
  static constexpr Duration kSummaryPeriod = 250ms;
  static constexpr Duration kReportLifetime = 3s;
  static constexpr Duration kLateAfter = 3s;
  static constexpr uint32_t kAttempts = 2;
  static constexpr uint64_t kBadPart = 1;

  struct Event {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_action;
    bool operator<(const Event& other) const {
      return std::tie(m_at, m_number) > std::tie(other.m_at, other.m_number);
    }
  };
  struct Call {
    uint64_t m_key = 0;
    uint32_t m_entry = 0;
    std::vector<uint64_t> m_parts;
    uint32_t m_attempts = 0;
    bool m_head = false;
    bool m_bad = false;
  };
  struct Replica {
    uint64_t m_incarnation = 0;
    TimePoint m_up_at{};
    std::map<uint64_t, Call> m_calls;
  };

  Duration RandomPause() {
    std::exponential_distribution<double> pause(m_settings.m_calls_per_second);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(pause(m_random)));
  }

  void At(TimePoint at, std::function<void()> action) {
    m_events.push({at, ++m_number, std::move(action)});
  }

  void RunNextEvent() {
    const Event event = m_events.top();
    m_events.pop();
    const TimePoint resume = m_now;
    m_now = event.m_at;
    event.m_action();
    m_now = std::max(resume, m_now);
  }

  uint32_t Random(uint32_t count) {
    return static_cast<uint32_t>(m_random() % count);
  }

  void Arrive(uint64_t key) {
    Call call;
    call.m_key = key;
    call.m_entry = Random(m_settings.m_entries);
    call.m_parts = {100 + Random(180), 1000 + Random(400)};
    call.m_bad =
        m_now >= kBadFrom && Random(1000) < 1000 * m_settings.m_bad_share;
    if (call.m_bad)
      call.m_parts.insert(call.m_parts.begin() + Random(2), kBadPart);
    else
      ++m_result.m_sound_calls;
    Send(call);
  }

  void Send(Call call) {
    if (FindBlocked(m_causes[call.m_entry], call.m_parts, m_now)) {
      m_result.m_sound_refused += call.m_bad ? 0 : 1;
      return;
    }
    const uint32_t first = Random(m_settings.m_replicas);
    for (uint32_t i = 0; i < m_settings.m_replicas; ++i) {
      const uint32_t number = (first + i) % m_settings.m_replicas;
      if (m_replicas[number].m_up_at <= m_now) {
        Run(number, call);
        return;
      }
    }
  }

  void Run(uint32_t number, Call call) {
    Replica& replica = m_replicas[number];
    const uint64_t incarnation = replica.m_incarnation;
    ++call.m_attempts;
    call.m_head = false;
    if (call.m_bad && m_result.m_crashes >= 5 && m_now > m_fifth + kLateAfter)
      ++m_result.m_late;
    const uint64_t key = call.m_key;
    replica.m_calls[key] = std::move(call);
    WithCall(number, incarnation, key, kPrefill, [this, number](Call& started) {
      started.m_head = true;
      if (!started.m_bad)
        return;
      At(m_now + kFirstEvent,
         [this, number, incarnation = m_replicas[number].m_incarnation] {
           if (m_replicas[number].m_incarnation == incarnation)
             Crash(number);
         });
    });
    WithCall(number, incarnation, key, kPrefill + kFirstEvent,
             [this](Call& answered) {
               if (answered.m_bad)
                 return;
               RecordAnswer(m_causes[answered.m_entry], answered.m_parts,
                            m_now);
               answered.m_key = 0;
             });
    At(m_now + kRun, [this, number, incarnation, key] {
      if (m_replicas[number].m_incarnation == incarnation)
        m_replicas[number].m_calls.erase(key);
    });
  }

  void WithCall(uint32_t number,
                uint64_t incarnation,
                uint64_t key,
                Duration delay,
                std::function<void(Call&)> action) {
    At(m_now + delay, [this, number, incarnation, key, action] {
      Replica& replica = m_replicas[number];
      const auto call = replica.m_calls.find(key);
      if (replica.m_incarnation == incarnation && call != replica.m_calls.end())
        action(call->second);
    });
  }

  void Crash(uint32_t number) {
    Replica& replica = m_replicas[number];
    const std::string incarnation =
        std::to_string(number) + "/" + std::to_string(replica.m_incarnation);
    if (++m_result.m_crashes == 1)
      BeginExchange();
    if (m_result.m_crashes == 5)
      m_fifth = m_now;
    const std::map<uint64_t, Call> calls = std::exchange(replica.m_calls, {});
    ++replica.m_incarnation;
    replica.m_up_at = m_now + kDown;
    for (const auto& [key, call] : calls) {
      // A call that has been answered has no key any more.
      if (call.m_key != 0) {
        RecordCrash(m_causes[call.m_entry], incarnation,
                    {call.m_key, call.m_parts, call.m_head}, m_now);
      }
      m_result.m_sound_lost += call.m_bad ? 0 : 1;
      if (call.m_key != 0 && call.m_attempts < kAttempts)
        Send(call);
    }
  }

  void BeginExchange() {
    m_first = m_now;
    At(m_now + kLocalPeriod, [this] { ExchangeLocally(); });
    At(m_now + kSummaryPeriod, [this] { ExchangeSummaries(); });
    if (m_settings.m_restart_at > Duration()) {
      At(m_now + m_settings.m_restart_at, [this] {
        m_causes.assign(m_settings.m_entries, {});
        m_reports.assign(m_settings.m_entries, {});
      });
    }
  }

  uint32_t DataCenterOf(uint32_t entry) const {
    return entry % m_settings.m_data_centers;
  }

  bool IsLost() { return Random(1000) < 1000 * m_settings.m_loss; }

  void Collect(uint32_t entry) {
    if (!BlockCauses(m_causes[entry], m_now).empty() &&
        m_result.m_crashes_until_blocked == 0)
      m_result.m_crashes_until_blocked = m_result.m_crashes;
    for (CrashReport& report : TakeReports(m_causes[entry]))
      m_reports[entry].push_back({m_now, std::move(report)});
    std::erase_if(m_reports[entry], [this](const auto& report) {
      return m_now - report.first > kReportLifetime;
    });
  }

  void Tell(uint32_t from, uint32_t to) {
    if (from == to || IsLost())
      return;
    for (const CrashReport& report : BlockedReports(m_causes[from]))
      ApplyReport(m_causes[to], report, m_now);
    for (const auto& [at, report] : m_reports[from])
      ApplyReport(m_causes[to], report, m_now);
  }

  void ExchangeLocally() {
    for (uint32_t from = 0; from < m_settings.m_entries; ++from) {
      Collect(from);
      if (m_reports[from].empty() && m_causes[from].m_blocked.empty())
        continue;
      for (uint32_t to = DataCenterOf(from); to < m_settings.m_entries;
           to += m_settings.m_data_centers)
        Tell(from, to);
    }
    CheckBlocked();
    At(m_now + kLocalPeriod, [this] { ExchangeLocally(); });
  }

  /// The first entry of each data centre tells the others, which pass it on.
  void ExchangeSummaries() {
    for (uint32_t from = 0; from < m_settings.m_data_centers; ++from) {
      for (uint32_t sender = from; sender < m_settings.m_entries;
           sender += m_settings.m_data_centers) {
        if (m_reports[sender].empty() && m_causes[sender].m_blocked.empty())
          continue;
        for (uint32_t to = 0; to < m_settings.m_entries; ++to) {
          if (DataCenterOf(to) != from)
            Tell(sender, to);
        }
      }
    }
    At(m_now + kSummaryPeriod, [this] { ExchangeSummaries(); });
  }

  void CheckBlocked() {
    const bool everywhere =
        std::all_of(m_causes.begin(), m_causes.end(), [this](const auto& each) {
          return FindBlocked(each, {kBadPart}, m_now).has_value();
        });
    if (everywhere && m_result.m_blocked_everywhere < Duration())
      m_result.m_blocked_everywhere = m_now - m_first;
  }

  const CrashFleetSettings m_settings;
  std::mt19937_64 m_random{7};
  TimePoint m_now = kBegin;
  TimePoint m_first{};
  TimePoint m_fifth{};
  uint64_t m_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<CrashCauses> m_causes;
  /// Reports that an entry still sends, with the time since when.
  std::vector<std::vector<std::pair<TimePoint, CrashReport>>> m_reports;
  std::vector<Replica> m_replicas;
  CrashFleetResult m_result;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_FAKE_CRASH_FLEET_H_
