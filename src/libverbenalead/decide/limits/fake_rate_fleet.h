#ifndef VERBENALEAD_DECIDE_LIMITS_FAKE_RATE_FLEET_H_
#define VERBENALEAD_DECIDE_LIMITS_FAKE_RATE_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "decide/limits/rate_gate.h"
#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {

/// How the entries of a simulated fleet keep to a replica's rate limit.
enum class RatePolicy {
  kOneHolder,   ///< One process holds the token bucket.
  kEqualShare,  ///< Each entry has a bucket with an equal share of the rate.
  kEachAlone,   ///< Each entry has a bucket with the whole rate.
};

struct RateFleetSettings {
  RatePolicy m_policy = RatePolicy::kOneHolder;
  uint32_t m_entries = 8;
  /// Requests per second that the replica takes.
  double m_limit = 1;
  /// Calls per second of all entries together that could go to the replica.
  double m_demand = 50;
  /// One entry gets all calls.
  bool m_single_caller = false;
  /// Share of datagrams that are lost.
  double m_loss = 0;
  /// Times at which the holder restarts, without its state.
  std::vector<Duration> m_restarts;
  /// Times at which another entry becomes the holder. For kDisagreement after
  /// that, half of the entries still ask the old one.
  std::vector<Duration> m_takeovers;
  /// Times at which the limit changes, and the new limit.
  std::vector<std::pair<Duration, double>> m_changes;
  Duration m_duration = 120s;
  uint64_t m_seed = 1;
};

struct RateFleetResult {
  /// Times at which requests arrived at the replica.
  std::vector<TimePoint> m_arrivals;
  uint64_t m_asks = 0;

  /// Most arrivals in any 4 s between `from` and `to`.
  uint32_t WorstWindow(TimePoint from, TimePoint to) const {
    uint32_t worst = 0;
    for (const TimePoint& at : m_arrivals) {
      if (at < from || at >= to)
        continue;
      const auto in_window = std::count_if(
          m_arrivals.begin(), m_arrivals.end(), [&](const TimePoint& other) {
            return other >= at && other < at + 4s && other < to;
          });
      worst = std::max(worst, static_cast<uint32_t>(in_window));
    }
    return worst;
  }
};

/// Most requests in any 4 s for a limit of `limit` requests per second.
inline double AllowedInWindow(double limit) {
  return 1.5 * 4 * limit + 5;
}

/// A simulated fleet of entries in front of one replica with a rate limit. All
/// entries know the limit. A call that isn't let through goes elsewhere.
class FakeRateFleet {
 public:
  static constexpr Duration kDisagreement = 1300ms;
  static constexpr Duration kAnswerTimeout = 40ms;
  static constexpr Duration kSilentHoldOff = 500ms;

  explicit FakeRateFleet(RateFleetSettings settings)
      : m_settings(std::move(settings)),
        m_limit(m_settings.m_limit),
        m_entries(m_settings.m_entries),
        m_own_gates(m_settings.m_entries),
        m_random(m_settings.m_seed) {}

  RateFleetResult Run() {
    SetRate(m_holder, m_limit, m_now);
    for (RateGate& gate : m_own_gates)
      SetRate(gate, OwnRate(), m_now);
    ScheduleDisruptions();
    ScheduleCall();
    while (!m_events.empty() && m_events.begin()->first <= End()) {
      const auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return std::move(m_result);
  }

  static TimePoint Start() { return TimePoint() + 3600s; }
  TimePoint End() const { return Start() + m_settings.m_duration; }

 private:
  void At(TimePoint time, std::function<void()> event) {
    m_events.emplace(time, std::move(event));
  }

  double OwnRate() const {
    return m_settings.m_policy == RatePolicy::kEqualShare
               ? m_limit / m_settings.m_entries
               : m_limit;
  }

  void ScheduleDisruptions() {
    for (Duration at : m_settings.m_restarts)
      At(Start() + at, [this] { ResetHolder(); });
    for (Duration at : m_settings.m_takeovers) {
      At(Start() + at, [this] {
        m_old_holder = m_holder;
        m_old_until = m_now + kDisagreement;
        ResetHolder();
      });
    }
    for (const auto& change : m_settings.m_changes) {
      At(Start() + change.first, [this, change] {
        m_limit = change.second;
        SetRate(m_holder, m_limit, m_now);
        SetRate(m_old_holder, m_limit, m_now);
        for (RateGate& gate : m_own_gates)
          SetRate(gate, OwnRate(), m_now);
      });
    }
  }

  void ResetHolder() {
    m_holder = RateGate();
    SetRate(m_holder, m_limit, m_now);
  }

  void ScheduleCall() {
    std::exponential_distribution<double> gap(m_settings.m_demand);
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(m_random)));
    At(m_now + wait, [this] {
      Call(m_settings.m_single_caller ? 0 : m_random() % m_entries.size());
      ScheduleCall();
    });
  }

  Duration Delay() {
    return Duration(std::uniform_int_distribution<int64_t>(
        Duration(200us).count(), Duration(3ms).count())(m_random));
  }

  bool Lost() {
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           m_settings.m_loss;
  }

  void Call(size_t entry) {
    if (m_entries[entry].m_rate_held_until > m_now)
      return;
    if (m_settings.m_policy != RatePolicy::kOneHolder) {
      if (!HasToken(m_own_gates[entry], m_now))
        return;
      TakeToken(m_own_gates[entry], m_now);
      Send();
      return;
    }
    ++m_result.m_asks;
    const bool asks_old = m_now < m_old_until && entry % 2 == 0;
    // Until an answer comes, calls of the entry may ask as well.
    const auto answered = std::make_shared<bool>(false);
    if (!Lost())
      At(m_now + Delay(), [=, this] { Ask(entry, asks_old, answered); });
    At(m_now + kAnswerTimeout, [=, this] {
      if (!*answered)
        HoldBack(m_entries[entry], kSilentHoldOff, m_now);
    });
  }

  void Ask(size_t entry, bool asks_old, const std::shared_ptr<bool>& answered) {
    RateGate& gate = asks_old ? m_old_holder : m_holder;
    const bool granted = HasToken(gate, m_now);
    Duration hold_off{};
    if (granted)
      TakeToken(gate, m_now);
    else
      hold_off = RecordDenial(gate, m_now, m_random);
    if (Lost())
      return;
    At(m_now + Delay(), [=, this] {
      *answered = true;
      if (granted)
        Send();
      else
        HoldBack(m_entries[entry], hold_off, m_now);
    });
  }

  void Send() {
    At(m_now + Delay(), [this] { m_result.m_arrivals.push_back(m_now); });
  }

  const RateFleetSettings m_settings;
  double m_limit;
  std::vector<ReplicaState> m_entries;
  std::vector<RateGate> m_own_gates;
  RateGate m_holder;
  RateGate m_old_holder;
  TimePoint m_old_until{};
  std::mt19937_64 m_random;
  std::multimap<TimePoint, std::function<void()>> m_events;
  TimePoint m_now = Start();
  RateFleetResult m_result;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_FAKE_RATE_FLEET_H_
