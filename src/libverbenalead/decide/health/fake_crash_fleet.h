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

/// When a request with the part crashes its replica.
enum class CrashPoint {
  kBeforeHead,
  kAfterHead,
  kAfterEvent,   ///< CrashFleetSettings::m_crash_event.
  kRandomEvent,  ///< After any of its events.
};

/// What becomes of a request whose parts are suspected.
enum class SuspectPolicy {
  kAsOthers,  ///< It goes to any replica, and is resumed at once.
  kHold,      ///< It is resumed once the crash is confirmed.
  kNotResumed,
  /// It goes to one replica, the same for all requests with the part, which
  /// others avoid. It waits while that replica is away.
  kOneReplica,
};

/// A fleet in which requests with one common part crash replicas.
struct CrashFleetSettings {
  uint32_t m_entries = 8;
  uint32_t m_data_centers = 3;
  uint32_t m_replicas = 12;
  uint32_t m_slots = 16;
  double m_calls_per_second = 85;
  /// Share of the calls that have the part.
  double m_bad_share = 0.05;
  /// If set, calls with the part come at this interval instead, beside the
  /// others.
  Duration m_bad_interval{};
  /// From when on they come.
  Duration m_bad_from = 5s;
  Duration m_length = 20s;
  CrashPoint m_crash_point = CrashPoint::kAfterHead;
  uint32_t m_crash_event = 1;
  Duration m_prefill = 200ms;
  uint32_t m_events = 18;
  Duration m_event_time = 60ms;
  /// Time until a crashed replica takes calls again.
  Duration m_down = 2s;
  /// Number of parts of which each call has one.
  uint32_t m_first_parts = 180;
  /// The same for a second part; 0: calls have none.
  uint32_t m_second_parts = 400;
  /// If set, replicas crash for other reasons at this interval.
  Duration m_other_crashes{};
  SuspectPolicy m_policy = SuspectPolicy::kAsOthers;
  /// Only crashes under calls without an event count, and each event clears.
  bool m_events_clear = false;
  /// Share of the datagrams between entries that are lost.
  double m_loss = 0;
  /// All entries restart at this time after the first crash; zero: none does.
  Duration m_restart_at{};
  uint32_t m_seed = 7;
};

/// Calls without the part that arrived in a time, and how many of them were
/// answered whole.
struct SoundCalls {
  uint32_t m_arrived = 0;
  uint32_t m_whole = 0;
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
  /// Other parts that an entry has blocked.
  std::set<uint64_t> m_wrong;
  uint32_t m_sound_calls = 0;
  /// Sound calls that had a part that their entry had blocked.
  uint32_t m_sound_refused = 0;
  /// Sound calls that ended with a replica.
  uint32_t m_sound_lost = 0;
  /// Before the first call with the part, in the 10 s after it, and later.
  SoundCalls m_before;
  SoundCalls m_during;
  SoundCalls m_after;
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
    At(kBegin + RandomPause(), [this] { ArriveNext(); });
    if (m_settings.m_bad_interval > Duration())
      At(BadFrom(), [this] { ArriveBad(); });
    if (m_settings.m_other_crashes > Duration())
      At(BadFrom(), [this] { CrashAny(); });
    while (m_events.top().m_at < End())
      RunNextEvent();
    return m_result;
  }

 private:
  static constexpr TimePoint kBegin = TimePoint() + 3600s;
  /// A call that found no replica tries again after this time, and is lost
  /// after kPatience.
  static constexpr Duration kRetryPause = 50ms;
  static constexpr Duration kPatience = 1s;
  /// Time until a crash is confirmed and told.
  static constexpr Duration kVerdict = 400ms;
  static constexpr Duration kDuring = 10s;
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
    TimePoint m_arrived{};
    uint32_t m_attempts = 0;
    /// Replicas that it has been sent to.
    std::set<uint32_t> m_tried;
    uint32_t m_events = 0;
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

  TimePoint BadFrom() const { return kBegin + m_settings.m_bad_from; }
  TimePoint End() const { return kBegin + m_settings.m_length; }

  void RunNextEvent() {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_action();
  }

  uint32_t Random(uint32_t count) {
    return static_cast<uint32_t>(m_random() % count);
  }

  void ArriveNext() {
    const bool bad = m_settings.m_bad_interval == Duration() &&
                     m_now >= BadFrom() &&
                     Random(1000) < 1000 * m_settings.m_bad_share;
    Arrive(bad);
    At(m_now + RandomPause(), [this] { ArriveNext(); });
  }

  void ArriveBad() {
    Arrive(true);
    At(m_now + m_settings.m_bad_interval, [this] { ArriveBad(); });
  }

  void CrashAny() {
    Crash(Random(m_settings.m_replicas));
    At(m_now + m_settings.m_other_crashes, [this] { CrashAny(); });
  }

  void Arrive(bool bad) {
    Call call;
    call.m_key = ++m_last_call;
    call.m_arrived = m_now;
    call.m_entry = Random(m_settings.m_entries);
    call.m_parts = {100 + Random(m_settings.m_first_parts)};
    if (m_settings.m_second_parts > 0)
      call.m_parts.push_back(1000 + Random(m_settings.m_second_parts));
    call.m_bad = bad;
    if (bad)
      call.m_parts.insert(call.m_parts.begin() + Random(2), kBadPart);
    else
      ++m_result.m_sound_calls, ++CountsOf(call).m_arrived;
    Send(call, m_now + kPatience);
  }

  SoundCalls& CountsOf(const Call& call) {
    if (call.m_arrived < BadFrom())
      return m_result.m_before;
    return call.m_arrived < BadFrom() + kDuring ? m_result.m_during
                                                : m_result.m_after;
  }

  bool IsUp(uint32_t number) const {
    return m_replicas[number].m_up_at <= m_now;
  }

  /// The replica for calls with `part`, the same at every entry.
  uint32_t ReplicaFor(uint64_t part) const {
    return static_cast<uint32_t>(part * 2654435761u % m_settings.m_replicas);
  }

  /// The replica that sound calls avoid.
  std::optional<uint32_t> Avoided(const CrashCauses& causes) const {
    if (causes.m_isolated.empty())
      return std::nullopt;
    return ReplicaFor(causes.m_isolated.front());
  }

  std::optional<uint32_t> LeastLoaded(const Call& call,
                                      std::optional<uint32_t> avoided) {
    std::optional<uint32_t> best;
    const uint32_t first = Random(m_settings.m_replicas);
    for (uint32_t i = 0; i < m_settings.m_replicas; ++i) {
      const uint32_t number = (first + i) % m_settings.m_replicas;
      const size_t calls = m_replicas[number].m_calls.size();
      if (!IsUp(number) || call.m_tried.contains(number) ||
          calls >= m_settings.m_slots || number == avoided)
        continue;
      if (!best || calls < m_replicas[*best].m_calls.size())
        best = number;
    }
    return best;
  }

  std::optional<uint32_t> ChooseReplica(const Call& call) {
    const CrashCauses& causes = m_causes[call.m_entry];
    if (m_settings.m_policy != SuspectPolicy::kOneReplica)
      return LeastLoaded(call, std::nullopt);
    const auto suspect = FindIsolated(causes, call.m_parts);
    if (suspect) {
      const uint32_t number = ReplicaFor(*suspect);
      const bool usable =
          IsUp(number) && !call.m_tried.contains(number) &&
          m_replicas[number].m_calls.size() < m_settings.m_slots;
      return usable ? std::optional(number) : std::nullopt;
    }
    const auto best = LeastLoaded(call, Avoided(causes));
    return best ? best : LeastLoaded(call, std::nullopt);
  }

  void Send(Call call, TimePoint until) {
    if (FindBlocked(m_causes[call.m_entry], call.m_parts, m_now)) {
      m_result.m_sound_refused += call.m_bad ? 0 : 1;
      return;
    }
    const auto number = ChooseReplica(call);
    if (number)
      Run(*number, std::move(call));
    else if (m_now < until)
      At(m_now + kRetryPause, [this, call, until] { Send(call, until); });
  }

  void Run(uint32_t number, Call call) {
    ++call.m_attempts;
    call.m_tried.insert(number);
    call.m_head = false;
    if (call.m_bad && m_result.m_crashes >= 5 && m_now > m_fifth + kLateAfter)
      ++m_result.m_late;
    const uint64_t key = call.m_key;
    const bool bad = call.m_bad;
    RecordSent(m_causes[call.m_entry], call.m_parts, m_now);
    Replica& replica = m_replicas[number];
    replica.m_calls[key] = std::move(call);
    const Duration prefill = m_settings.m_prefill;
    if (bad && m_settings.m_crash_point == CrashPoint::kBeforeHead)
      WithCall(number, key, prefill / 2,
               [this, number](Call&) { Crash(number); });
    WithCall(number, key, prefill, [this, number, key](Call& begun) {
      begun.m_head = true;
      if (begun.m_bad && m_settings.m_crash_point == CrashPoint::kAfterHead)
        WithCall(number, key, m_settings.m_event_time,
                 [this, number](Call&) { Crash(number); });
      else
        AwaitEvent(number, key, CrashEvent());
    });
  }

  /// The number of events of an attempt after which it crashes its replica.
  uint32_t CrashEvent() {
    return m_settings.m_crash_point == CrashPoint::kRandomEvent
               ? 1 + Random(m_settings.m_events - 1)
               : m_settings.m_crash_event;
  }

  void AwaitEvent(uint32_t number, uint64_t key, uint32_t until_crash) {
    WithCall(number, key, m_settings.m_event_time,
             [this, number, key, until_crash](Call& call) {
               ++call.m_events;
               if (m_settings.m_events_clear) {
                 RecordAnswer(m_causes[call.m_entry], call.m_parts, m_now);
               }
               if (call.m_bad && until_crash == 1)
                 Crash(number);
               else if (call.m_events < m_settings.m_events)
                 AwaitEvent(number, key, until_crash - 1);
               else
                 End(number, call);
             });
  }

  void End(uint32_t number, const Call& call) {
    if (call.m_attempts == 1 || m_settings.m_events_clear)
      RecordAnswer(m_causes[call.m_entry], call.m_parts, m_now);
    if (!call.m_bad)
      ++CountsOf(call).m_whole;
    m_replicas[number].m_calls.erase(call.m_key);
  }

  /// Calls `action` after `delay` if the call is still at the replica.
  void WithCall(uint32_t number,
                uint64_t key,
                Duration delay,
                std::function<void(Call&)> action) {
    const uint64_t incarnation = m_replicas[number].m_incarnation;
    At(m_now + delay, [this, number, incarnation, key, action] {
      Replica& replica = m_replicas[number];
      const auto call = replica.m_calls.find(key);
      if (replica.m_incarnation == incarnation && call != replica.m_calls.end())
        action(call->second);
    });
  }

  void Crash(uint32_t number) {
    Replica& replica = m_replicas[number];
    if (!IsUp(number))
      return;
    const std::string incarnation =
        std::to_string(number) + "/" + std::to_string(replica.m_incarnation);
    if (++m_result.m_crashes == 1)
      BeginExchange();
    if (m_result.m_crashes == 5)
      m_fifth = m_now;
    const std::map<uint64_t, Call> calls = std::exchange(replica.m_calls, {});
    ++replica.m_incarnation;
    replica.m_up_at = m_now + m_settings.m_down;
    for (const auto& [key, call] : calls)
      Cut(incarnation, call);
  }

  void Cut(const std::string& incarnation, const Call& call) {
    CrashCauses& causes = m_causes[call.m_entry];
    if (call.m_events == 0 || !m_settings.m_events_clear) {
      RecordCrash(causes, incarnation, {call.m_key, call.m_parts, call.m_head},
                  m_now);
    }
    Judge(call.m_entry);
    m_result.m_sound_lost += call.m_bad ? 0 : 1;
    if (call.m_attempts >= kAttempts)
      return;
    const bool suspect = FindIsolated(causes, call.m_parts).has_value();
    const auto policy = m_settings.m_policy;
    if (suspect && policy == SuspectPolicy::kNotResumed)
      return;
    const Duration delay =
        suspect && policy == SuspectPolicy::kHold ? kVerdict : Duration();
    At(m_now + delay, [this, call] { Send(call, m_now + kPatience); });
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

  void Judge(uint32_t entry) {
    for (const BlockedPart& blocked : BlockCauses(m_causes[entry], m_now)) {
      if (blocked.m_part != kBadPart)
        m_result.m_wrong.insert(blocked.m_part);
      else if (m_result.m_crashes_until_blocked == 0)
        m_result.m_crashes_until_blocked = m_result.m_crashes;
    }
  }

  void Collect(uint32_t entry) {
    Judge(entry);
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
  std::mt19937_64 m_random{m_settings.m_seed};
  TimePoint m_now = kBegin;
  TimePoint m_first{};
  TimePoint m_fifth{};
  uint64_t m_number = 0;
  uint64_t m_last_call = 0;
  std::priority_queue<Event> m_events;
  std::vector<CrashCauses> m_causes;
  /// Reports that an entry still sends, with the time since when.
  std::vector<std::vector<std::pair<TimePoint, CrashReport>>> m_reports;
  std::vector<Replica> m_replicas;
  CrashFleetResult m_result;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_FAKE_CRASH_FLEET_H_
