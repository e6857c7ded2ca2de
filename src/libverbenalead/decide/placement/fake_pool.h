#ifndef VERBENALEAD_DECIDE_PLACEMENT_FAKE_POOL_H_
#define VERBENALEAD_DECIDE_PLACEMENT_FAKE_POOL_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/admission/admission.h"
#include "decide/attempts/retry.h"
#include "decide/placement/target_selection.h"
#include "model/call_builder.h"

/// Simulation of entries that route calls to fake targets in virtual time, for
/// the tests and benchmarks of admission, placement and retries. The decision
/// code gets the same events and returns the same actions as in the daemon,
/// without sockets.
namespace verbenalead::decide::fake {

enum class Policy {
  kVerbenalead,
  kRoundRobin,
  kRandom,
  kLeastReported,
  kOracle
};

inline const char* ToString(Policy policy) {
  switch (policy) {
    case Policy::kVerbenalead:
      return "verbenalead";
    case Policy::kRoundRobin:
      return "round_robin";
    case Policy::kRandom:
      return "random";
    case Policy::kLeastReported:
      return "least_reported";
    case Policy::kOracle:
      return "perfect_knowledge";
  }
  return "";
}

struct PoolSettings {
  Policy m_policy = Policy::kVerbenalead;
  /// If false, calls start in order of arrival, regardless of their
  /// organisation and urgency.
  bool m_admission = true;
  uint32_t m_entries = 8;
  uint32_t m_targets = 10;
  /// Calls that a target runs at once (m_slots) and calls that it admits
  /// (m_gate_limit). Admitted calls beyond m_slots wait in the engine in order
  /// of arrival.
  uint32_t m_slots = 8;
  uint32_t m_gate_limit = 10;
  Duration m_per_unit = 2ms;
  /// Time to process a prefix that is not cached, and the maximum number of
  /// prefixes that a target caches.
  Duration m_prefill{};
  size_t m_max_cached = 0;
  Duration m_one_way = 1ms;
  Duration m_report_every = 250ms;
  Duration m_report_lag = 250ms;
  /// Fraction of cache events that are lost, and the delay of the others.
  double m_events_lost = 0.2;
  Duration m_event_lag = 1s;
  uint32_t m_slow_targets = 0;
  double m_slow_factor = 10;
  /// Number of targets, counted from the first, that fail at m_failed_from.
  uint32_t m_failed_targets = 0;
  Duration m_failed_from{};
  uint64_t m_seed = 1;
};

/// The result of one call.
struct CallRecord {
  model::Call m_call;
  TimePoint m_arrived{};
  TimePoint m_ended_at{};
  bool m_completed = false;
  std::string m_reason;
  uint32_t m_attempts = 0;
  uint32_t m_result_count = 0;
  bool m_cached = false;

  Duration latency() const { return m_ended_at - m_arrived; }
  bool on_time() const {
    return m_completed && m_ended_at <= m_call.deadline();
  }
};

class FakePool {
 public:
  explicit FakePool(PoolSettings settings)
      : m_settings(settings),
        m_random(static_cast<uint32_t>(settings.m_seed)),
        m_entries(settings.m_entries),
        m_targets(settings.m_targets) {
    for (Entry& entry : m_entries) {
      entry.m_random.seed(m_random());
      entry.m_admit.m_entries = settings.m_entries;
      entry.m_next_target = m_random() % settings.m_targets;
    }
    for (uint32_t i = 0; i < settings.m_targets; ++i) {
      for (uint32_t e = 0; e < settings.m_entries; ++e)
        ApplyReport(m_entries[e].m_selection, MakeReport(i), m_now);
      Schedule(m_now + settings.m_report_every * i / settings.m_targets,
               [this, i] { SendReports(i); });
    }
    TickEntries();
  }

  /// Schedules the arrival of a call at a random entry at `at`. `timeout`
  /// starts at that time.
  void Add(Duration at, model::CallBuilder builder, Duration timeout) {
    const TimePoint when = TimePoint{} + at;
    builder.Id(std::to_string(m_records.size())).Pool("p");
    CallRecord record;
    record.m_call = builder.Deadline(when + timeout).Build();
    record.m_arrived = when;
    const size_t call = m_records.size();
    m_records.push_back(std::move(record));
    const size_t entry = m_random() % m_entries.size();
    Schedule(when, [this, call, entry] { HandleArrival(call, entry); });
  }

  void Run(Duration until) {
    while (!m_events.empty() && m_events.top().m_at <= TimePoint{} + until) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
  }

  const std::vector<CallRecord>& records() const { return m_records; }
  std::vector<double> work() const {
    std::vector<double> work;
    for (const Target& target : m_targets)
      work.push_back(target.m_work);
    return work;
  }
  /// Number of calls that still wait at an entry after their deadline.
  size_t overdue() const {
    size_t count = 0;
    for (const Entry& entry : m_entries) {
      for (const auto& [name, queue] : entry.m_admit.m_queues) {
        for (const WaitingCall& call : queue.m_calls)
          count += call.m_deadline < m_now - kDeadlineScanInterval * 2 ? 1 : 0;
      }
    }
    return count;
  }

 private:
  struct Event {
    TimePoint m_at;
    uint64_t m_order;
    std::function<void()> m_action;
    bool operator<(const Event& other) const {
      return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
    }
  };
  struct Entry {
    AdmissionState m_admit;
    TargetSelectionState m_selection;
    RetryBudget m_budget;
    Random m_random;
    size_t m_next_target = 0;
    TimePoint m_started{};
  };
  struct Running {
    size_t m_call;
    Duration m_length;
    std::function<void(bool)> m_done;
  };
  struct Target {
    uint32_t m_admitted = 0;
    uint32_t m_active = 0;
    std::deque<Running> m_queue;
    std::list<uint64_t> m_cache;
    double m_work = 0;
  };

  void Schedule(TimePoint when, std::function<void()> action) {
    m_events.push({when, ++m_order, std::move(action)});
  }

  bool HasFailed(size_t target) const {
    return target < m_settings.m_failed_targets &&
           m_now >= TimePoint{} + m_settings.m_failed_from;
  }

  model::TargetReport MakeReport(size_t target) const {
    model::TargetReport report;
    report.m_name = "t" + std::to_string(target);
    report.m_pool = "p";
    report.m_incarnation = 1;
    report.m_capacity = m_settings.m_gate_limit;
    report.m_running = m_targets[target].m_admitted;
    report.m_open = true;
    return report;
  }

  void SendReports(size_t target) {
    // The last report of a failed target stays valid for kMaxReportAge.
    if (!HasFailed(target)) {
      const model::TargetReport report = MakeReport(target);
      Schedule(m_now + m_settings.m_report_lag, [this, report] {
        for (Entry& entry : m_entries)
          ApplyReport(entry.m_selection, report, m_now);
      });
    }
    Schedule(m_now + m_settings.m_report_every,
             [this, target] { SendReports(target); });
  }

  void TickEntries() {
    for (size_t e = 0; e < m_entries.size(); ++e) {
      const uint32_t capacity = UsableCapacity(m_entries[e].m_selection, m_now);
      ApplyActions(e, UpdateCapacity(m_entries[e].m_admit, capacity, m_now));
    }
    m_worst_overdue = std::max(m_worst_overdue, overdue());
    Schedule(m_now + kDeadlineScanInterval, [this] { TickEntries(); });
  }

  void HandleArrival(size_t call, size_t e) {
    CountFirstAttempt(m_entries[e].m_budget);
    EnqueueCall(call, e);
  }

  void EnqueueCall(size_t call, size_t e) {
    model::Call arriving = m_records[call].m_call;
    if (!m_settings.m_admission) {
      model::CallBuilder builder;
      builder.Organisation("all").Deadline(arriving.deadline());
      arriving = builder.ExpectedTokens(arriving.expected_tokens()).Build();
    }
    ApplyActions(e, CallArrived(m_entries[e].m_admit, call, arriving, m_now));
  }

  void ApplyActions(size_t e, const std::vector<AdmissionAction>& actions) {
    for (const AdmissionAction& action : actions) {
      if (action.m_kind == AdmissionAction::Kind::kStart)
        StartCall(action.m_ticket, e);
      else
        RecordResult(action.m_ticket, false, action.m_reason);
    }
  }

  void RecordResult(size_t call, bool completed, const std::string& reason) {
    CallRecord& record = m_records[call];
    record.m_completed = completed;
    record.m_reason = reason;
    record.m_ended_at = m_now;
    ++record.m_result_count;
  }

  void StartCall(size_t call, size_t e) {
    auto tried = std::make_shared<std::set<std::string>>();
    StartAttempt(call, e, tried, 1, m_now);
  }

  std::optional<Placement> ChooseByPolicy(const model::Call& call,
                                          Entry& entry,
                                          const std::set<std::string>& tried,
                                          Duration waited) {
    if (m_settings.m_policy == Policy::kVerbenalead)
      return ChooseTarget(entry.m_selection, call, tried, waited, m_now,
                          entry.m_random);
    if (m_settings.m_policy == Policy::kOracle)
      return ChooseByOracle(call, tried);
    std::vector<size_t> usable;
    for (size_t i = 0; i < m_targets.size(); ++i) {
      const TargetView& view = entry.m_selection.m_targets[i];
      if (m_now - view.m_reported_at <= kMaxReportAge &&
          !tried.contains(view.m_report.m_name))
        usable.push_back(i);
    }
    if (usable.empty())
      return std::nullopt;
    size_t chosen = usable[m_random() % usable.size()];
    if (m_settings.m_policy == Policy::kRoundRobin)
      chosen = usable[entry.m_next_target++ % usable.size()];
    if (m_settings.m_policy == Policy::kLeastReported) {
      const auto reported = [&entry](size_t a, size_t b) {
        return entry.m_selection.m_targets[a].m_report.m_running <
               entry.m_selection.m_targets[b].m_report.m_running;
      };
      chosen = *std::min_element(usable.begin(), usable.end(), reported);
    }
    Placement placement;
    placement.m_target = "t" + std::to_string(chosen);
    return placement;
  }

  /// Chooses with exact knowledge of all caches, of the admitted calls and of
  /// the work done: the upper bound for the other policies.
  std::optional<Placement> ChooseByOracle(const model::Call& call,
                                          const std::set<std::string>& tried) {
    double mean = WorkUnits(call);
    for (const Target& target : m_targets)
      mean += target.m_work;
    mean /= static_cast<double>(m_targets.size());
    std::optional<size_t> best;
    std::pair<int, double> best_rank;
    for (size_t i = 0; i < m_targets.size(); ++i) {
      const Target& target = m_targets[i];
      if (target.m_admitted >= m_settings.m_gate_limit ||
          tried.contains("t" + std::to_string(i)))
        continue;
      const bool prefix_cached = Cached(target, call.prefix()) &&
                                 target.m_work + WorkUnits(call) <= 1.25 * mean;
      const std::pair rank{prefix_cached ? 0 : 1, target.m_work};
      if (!best || rank < best_rank) {
        best = i;
        best_rank = rank;
      }
    }
    if (!best)
      return std::nullopt;
    Placement placement;
    placement.m_target = "t" + std::to_string(*best);
    return placement;
  }

  void StartAttempt(size_t call,
                    size_t e,
                    std::shared_ptr<std::set<std::string>> tried,
                    uint32_t number,
                    TimePoint started) {
    Entry& entry = m_entries[e];
    const model::Call& model_call = m_records[call].m_call;
    const auto placement =
        ChooseByPolicy(model_call, entry, *tried, m_now - started);
    if (!placement) {
      LowerConcurrencyLimit(entry.m_admit, m_now);
      return RetryWhenFull(call, e, number, started);
    }
    tried->insert(placement->m_target);
    AttemptSent(entry.m_selection, placement->m_target, model_call, m_now);
    const TimePoint sent = m_now;
    const size_t target = std::stoul(placement->m_target.substr(1));
    Schedule(m_now + m_settings.m_one_way, [=, this] {
      ++m_records[call].m_attempts;
      if (HasFailed(target))
        return SendAnswer(call, e, target, TargetFeedback::kBroken, sent, tried,
                          number, started);
      Target& fake_target = m_targets[target];
      const bool full = fake_target.m_admitted >= m_settings.m_gate_limit;
      if (full || fake_target.m_admitted > placement->m_max_running) {
        --m_records[call].m_attempts;
        return SendAnswer(
            call, e, target,
            full ? TargetFeedback::kFull : TargetFeedback::kAboveMaxRunning,
            sent, tried, number, started);
      }
      ++fake_target.m_admitted;
      fake_target.m_queue.push_back({call, {}, [=, this](bool working) {
                                       SendAnswer(call, e, target,
                                                  working
                                                      ? TargetFeedback::kGood
                                                      : TargetFeedback::kBroken,
                                                  sent, tried, number, started);
                                     }});
      RunQueued(target);
    });
  }

  void RunQueued(size_t target) {
    Target& fake_target = m_targets[target];
    while (fake_target.m_active < m_settings.m_slots &&
           !fake_target.m_queue.empty()) {
      const Running next = fake_target.m_queue.front();
      fake_target.m_queue.pop_front();
      ++fake_target.m_active;
      const Duration duration = CallDuration(target, next.m_call);
      fake_target.m_work += WorkUnits(m_records[next.m_call].m_call);
      Schedule(m_now + duration, [this, target, next] {
        Target& fake_target = m_targets[target];
        --fake_target.m_active;
        --fake_target.m_admitted;
        next.m_done(!HasFailed(target));
        RunQueued(target);
      });
    }
  }

  Duration CallDuration(size_t target, size_t call) {
    const model::Call& model_call = m_records[call].m_call;
    const double noise = 0.9 + 0.2 * static_cast<double>(m_random()) /
                                   static_cast<double>(std::mt19937::max());
    double factor = noise;
    if (target < m_settings.m_slow_targets)
      factor *= m_settings.m_slow_factor;
    Duration duration = m_settings.m_per_unit * model_call.expected_tokens();
    if (model_call.prefix() != 0 && m_settings.m_max_cached > 0)
      duration += Prefill(target, call);
    return std::chrono::duration_cast<Duration>(duration * factor);
  }

  bool Cached(const Target& target, uint64_t prefix) const {
    return std::find(target.m_cache.begin(), target.m_cache.end(), prefix) !=
           target.m_cache.end();
  }

  Duration Prefill(size_t target, size_t call) {
    std::list<uint64_t>& cache = m_targets[target].m_cache;
    const uint64_t prefix = m_records[call].m_call.prefix();
    const bool cached = Cached(m_targets[target], prefix);
    m_records[call].m_cached = cached;
    cache.remove(prefix);
    cache.push_front(prefix);
    PublishCacheEvent(target, prefix, true);
    if (cache.size() > m_settings.m_max_cached) {
      PublishCacheEvent(target, cache.back(), false);
      cache.pop_back();
    }
    return cached ? Duration{} : m_settings.m_prefill;
  }

  void PublishCacheEvent(size_t target, uint64_t prefix, bool cached) {
    if (m_random() % 1000 < m_settings.m_events_lost * 1000)
      return;
    const TimePoint when = m_now;
    Schedule(m_now + m_settings.m_event_lag, [=, this] {
      const std::string name = "t" + std::to_string(target);
      for (Entry& entry : m_entries) {
        if (cached)
          PrefixCached(entry.m_selection, name, prefix, when);
        else
          PrefixEvicted(entry.m_selection, name, prefix, when);
      }
    });
  }

  void SendAnswer(size_t call,
                  size_t e,
                  size_t target,
                  TargetFeedback feedback,
                  TimePoint sent,
                  std::shared_ptr<std::set<std::string>> tried,
                  uint32_t number,
                  TimePoint started) {
    const uint32_t running = m_targets[target].m_admitted;
    Schedule(m_now + m_settings.m_one_way, [=, this] {
      Entry& entry = m_entries[e];
      const model::Call& model_call = m_records[call].m_call;
      AttemptEnded(entry.m_selection, "t" + std::to_string(target), model_call,
                   feedback, m_now - sent, m_now);
      if (feedback != TargetFeedback::kBroken)
        LoadObserved(entry.m_selection, "t" + std::to_string(target), running,
                     m_now);
      FinishedAttempt attempt;
      attempt.m_number = number;
      attempt.m_refused_without_run =
          feedback == TargetFeedback::kFull ||
          feedback == TargetFeedback::kAboveMaxRunning;
      attempt.m_end = feedback == TargetFeedback::kGood
                          ? AttemptVerdict::kCompleted
                          : AttemptVerdict::kNotRun;
      const RetryDecision decision =
          DecideRetry(model_call, attempt, entry.m_budget, m_now);
      if (decision.m_retry)
        return StartAttempt(call, e, tried, number + 1, started);
      if (attempt.m_refused_without_run) {
        if (feedback == TargetFeedback::kFull)
          LowerConcurrencyLimit(entry.m_admit, m_now);
        return RetryWhenFull(call, e, number, started);
      }
      FinishCall(call, e, feedback == TargetFeedback::kGood, started);
    });
  }

  void FinishCall(size_t call, size_t e, bool good, TimePoint started) {
    const double units = WorkUnits(m_records[call].m_call);
    RecordResult(call, good, "broken or full");
    std::optional<Duration> elapsed;
    if (good)
      elapsed = m_now - started;
    ApplyActions(e, CallFinished(m_entries[e].m_admit, units, elapsed, m_now));
  }

  /// Handles a call for which no target had a free slot: the call still counts
  /// as running and is retried after kFullTargetPause.
  void RetryWhenFull(size_t call,
                     size_t e,
                     uint32_t number,
                     TimePoint started) {
    if (m_now + kFullTargetPause >= m_records[call].m_call.deadline() ||
        number > kMaxAttempts)
      return FinishCall(call, e, false, started);
    Schedule(m_now + kFullTargetPause, [=, this] {
      StartAttempt(call, e, std::make_shared<std::set<std::string>>(), 1,
                   started);
    });
  }

  const PoolSettings m_settings;
  std::mt19937 m_random;
  TimePoint m_now{};
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Entry> m_entries;
  std::vector<Target> m_targets;
  std::vector<CallRecord> m_records;
  size_t m_worst_overdue = 0;

 public:
  size_t worst_overdue() const { return m_worst_overdue; }
};

}  // namespace verbenalead::decide::fake

#endif  // VERBENALEAD_DECIDE_PLACEMENT_FAKE_POOL_H_
