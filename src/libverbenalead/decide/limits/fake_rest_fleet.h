#ifndef VERBENALEAD_DECIDE_LIMITS_FAKE_REST_FLEET_H_
#define VERBENALEAD_DECIDE_LIMITS_FAKE_REST_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decide/attempts/retry_window.h"
#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {

/// A fleet in which some replicas reject all calls for a while.
struct RestFleetSettings {
  uint32_t m_entries = 8;
  uint32_t m_replicas = 12;
  uint32_t m_rejecting = 4;
  /// Rest for which a rejecting replica asks; zero: none.
  Duration m_rest = 3s;
  double m_calls_per_second = 95;
  Duration m_run_time = 1300ms;
  /// Share of the reports about other entries' calls that are lost.
  double m_loss = 0;
};

struct RestFleetResult {
  uint64_t m_calls = 0;
  uint64_t m_arrivals = 0;
  uint64_t m_refused = 0;
  /// Refused although replicas that accept calls had free slots.
  uint64_t m_refused_with_room = 0;
  /// Most calls of one entry at one replica during one of its rests.
  uint32_t m_worst_rest = 0;
  /// Most calls at one replica in the first 50 ms, and in the first second,
  /// after it has begun to accept calls again.
  uint32_t m_first_50ms = 0;
  uint32_t m_first_second = 0;
};

/// Entries that choose replicas by ReplicaPool, without target processes, and
/// replicas that run up to their slots. Time is simulated.
class FakeRestFleet {
 public:
  explicit FakeRestFleet(const RestFleetSettings& settings)
      : m_settings(settings),
        m_pools(settings.m_entries),
        m_retries(settings.m_entries),
        m_running(settings.m_replicas),
        m_arrived_after(settings.m_replicas) {
    std::vector<model::Replica> replicas(settings.m_replicas);
    for (uint32_t i = 0; i < settings.m_replicas; ++i) {
      replicas[i].m_id = std::to_string(i);
      replicas[i].m_slots = kSlots;
    }
    for (ReplicaPool& pool : m_pools)
      SetReplicas(pool, replicas, TimePoint(), m_now);
  }

  RestFleetResult Run() {
    ScheduleCall();
    ScheduleReports();
    while (!m_events.empty() && m_events.top().m_at < kEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    for (const std::vector<TimePoint>& arrivals : m_arrived_after) {
      m_result.m_first_50ms =
          std::max(m_result.m_first_50ms, CountUntil(arrivals, 50ms));
      m_result.m_first_second =
          std::max(m_result.m_first_second, CountUntil(arrivals, 1s));
    }
    return m_result;
  }

 private:
  static constexpr uint32_t kSlots = 16;
  static constexpr uint32_t kMaxAttempts = 4;
  static constexpr Duration kReportInterval = 200ms;
  static constexpr TimePoint kBegin = TimePoint() + 3600s;
  static constexpr TimePoint kRejectFrom = kBegin + 4s;
  static constexpr TimePoint kRejectUntil = kRejectFrom + 8s;
  static constexpr TimePoint kEnd = kRejectUntil + 6s;
  static constexpr Duration kRestGrace = 500ms;

  struct Event {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_action;

    bool operator<(const Event& other) const {
      return std::tie(m_at, m_number) > std::tie(other.m_at, other.m_number);
    }
  };

  static uint32_t CountUntil(const std::vector<TimePoint>& arrivals,
                             Duration after) {
    // From the first call, as entries return at different times.
    return static_cast<uint32_t>(std::count_if(
        arrivals.begin(), arrivals.end(),
        [&](TimePoint at) { return at < arrivals.front() + after; }));
  }

  void At(TimePoint at, std::function<void()> action) {
    m_events.push({at, ++m_number, std::move(action)});
  }

  void ScheduleCall() {
    const auto gap = std::exponential_distribution<>(
        m_settings.m_calls_per_second)(m_random);
    At(m_now + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(gap)),
       [this] {
         ScheduleCall();
         const auto entry =
             static_cast<uint32_t>(m_random() % m_settings.m_entries);
         ++m_result.m_calls;
         CountCall(m_retries[entry], m_allowance, m_now);
         PoolCall call;
         call.m_ticket = m_result.m_calls;
         Place(entry, call, 1);
       });
  }

  void ScheduleReports() {
    At(m_now + kReportInterval, [this] {
      ScheduleReports();
      for (ReplicaPool& pool : m_pools) {
        for (auto& [id, state] : pool.m_replicas) {
          if (std::uniform_real_distribution<>()(m_random) >= m_settings.m_loss)
            state.m_other_entries_calls =
                m_running[std::stoul(id)] -
                std::min(m_running[std::stoul(id)], state.m_in_flight);
        }
      }
    });
  }

  bool IsRejecting(uint32_t replica) const {
    return replica < m_settings.m_rejecting && m_now >= kRejectFrom &&
           m_now < kRejectUntil;
  }

  void Refuse() {
    ++m_result.m_refused;
    for (uint32_t replica = 0; replica < m_settings.m_replicas; ++replica) {
      if (!IsRejecting(replica) && m_running[replica] < kSlots) {
        ++m_result.m_refused_with_room;
        return;
      }
    }
  }

  void Place(uint32_t entry, PoolCall call, uint32_t attempt) {
    ReplicaPool& pool = m_pools[entry];
    const auto id = AcquireSlot(pool, call, m_now, m_random);
    if (!id) {
      Refuse();
      return;
    }
    const auto replica = static_cast<uint32_t>(std::stoul(*id));
    NoteArrival(entry, replica);
    if (!IsRejecting(replica) && m_running[replica] < kSlots) {
      ++m_running[replica];
      At(m_now + m_settings.m_run_time, [this, entry, replica, id] {
        --m_running[replica];
        ReleaseSlot(m_pools[entry], *id, AttemptEnd::kGood, m_now);
      });
      return;
    }
    if (IsRejecting(replica) && m_settings.m_rest > Duration()) {
      NoteRest(pool.m_replicas.at(*id), m_settings.m_rest, m_now, m_random);
      Told& told = m_told[{entry, replica}];
      told = {m_now + kRestGrace, m_now + m_settings.m_rest, 0};
    }
    ReleaseSlot(pool, *id, AttemptEnd::kNotRun, m_now);
    call.m_attempted_replicas.insert(*id);
    if (attempt < kMaxAttempts &&
        TryTakeRetry(m_retries[entry], m_allowance, m_settings.m_entries, m_now)
            .m_allowed) {
      SettleRetry(m_retries[entry], m_allowance, m_now);
      Place(entry, call, attempt + 1);
    } else {
      Refuse();
    }
  }

  void NoteArrival(uint32_t entry, uint32_t replica) {
    ++m_result.m_arrivals;
    if (replica < m_settings.m_rejecting && m_now >= kRejectUntil)
      m_arrived_after[replica].push_back(m_now);
    const auto told = m_told.find({entry, replica});
    if (told == m_told.end() || m_now < told->second.m_from ||
        m_now >= told->second.m_until)
      return;
    m_result.m_worst_rest =
        std::max(m_result.m_worst_rest, ++told->second.m_calls);
  }

  struct Told {
    TimePoint m_from;
    TimePoint m_until;
    uint32_t m_calls = 0;
  };

  const RestFleetSettings m_settings;
  const RetryAllowance m_allowance;
  std::mt19937_64 m_random{11};
  TimePoint m_now = kBegin;
  uint64_t m_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<ReplicaPool> m_pools;
  std::vector<RetryWindow> m_retries;
  std::vector<uint32_t> m_running;
  std::vector<std::vector<TimePoint>> m_arrived_after;
  std::map<std::pair<uint32_t, uint32_t>, Told> m_told;
  RestFleetResult m_result;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_FAKE_REST_FLEET_H_
