/// Prints one line for each scenario and policy:
///
///     bench=requests scenario=saturation policy=verbenalead goodput=...
///
/// Time is simulated, so the results are the same on any machine.
#include <cmath>
#include <cstdio>

#include "decide/membership/rendezvous.h"
#include "decide/placement/fake_pool.h"

namespace verbenalead::decide::fake {
namespace {

constexpr Policy kPolicies[] = {Policy::kVerbenalead, Policy::kRoundRobin,
                                Policy::kRandom, Policy::kLeastReported};
constexpr uint32_t kShort = 50;
constexpr uint32_t kLong = 500;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(part * (values.size() - 1))];
}

/// Latencies in ms of the completed calls for which `includes` returns true.
template <typename Counts>
std::vector<double> Latencies(const FakePool& pool, Counts&& includes) {
  std::vector<double> all;
  for (const CallRecord& record : pool.records()) {
    if (record.m_completed && includes(record))
      all.push_back(ToMs(record.latency()));
  }
  return all;
}

/// Arrivals with exponentially distributed gaps.
struct Arrivals {
  std::mt19937 m_random{7};
  double m_at = 0;

  Duration Next(double rate) {
    m_at += std::exponential_distribution<double>(rate)(m_random);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_at));
  }
  uint32_t Pick(uint32_t below) { return m_random() % below; }
};

/// Calls per second that the slots of the pool can run, with `units` of work
/// for each call.
double Capacity(const PoolSettings& settings, double units) {
  const double seconds =
      units * std::chrono::duration<double>(settings.m_per_unit).count();
  return settings.m_targets * settings.m_slots / seconds;
}

size_t Lost(const FakePool& pool) {
  size_t lost = 0;
  for (const CallRecord& record : pool.records())
    lost += record.m_result_count == 1 ? 0 : 1;
  return lost;
}

/// Load of twice the capacity: one organisation sends 80% of the calls, nine
/// others the rest; a tenth of all calls is urgent.
void Saturation(Policy policy, bool admission) {
  PoolSettings settings;
  settings.m_policy = policy;
  settings.m_admission = admission;
  FakePool pool(settings);
  const double capacity = Capacity(settings, kShort);
  const double seconds = 30;
  const double warm_up = 5;
  Arrivals arrivals;
  while (arrivals.m_at < seconds) {
    const bool large = arrivals.Pick(10) < 8;
    const uint32_t organisation = large ? 0 : 1 + arrivals.Pick(9);
    model::CallBuilder builder;
    builder.Organisation("o" + std::to_string(organisation));
    builder.ExpectedTokens(kShort).Urgency(arrivals.Pick(10) == 0 ? 0 : 3);
    pool.Add(arrivals.Next(2 * capacity), builder, 1s);
  }
  pool.Run(60s);
  double on_time_calls = 0, urgent = 0, urgent_on_time = 0, late_refused = 0,
         refused = 0;
  std::map<std::string, double> by_organisation, demand;
  std::vector<double> refusal_times;
  for (const CallRecord& record : pool.records()) {
    const double at = ToMs(record.m_arrived - TimePoint{}) / 1000;
    if (at < warm_up || at > seconds - 2)
      continue;
    ++demand[record.m_call.organisation()];
    if (record.on_time()) {
      ++on_time_calls;
      ++by_organisation[record.m_call.organisation()];
    }
    if (record.m_call.urgency() == 0) {
      ++urgent;
      urgent_on_time += record.on_time() ? 1 : 0;
    }
    if (!record.m_completed) {
      ++refused;
      refusal_times.push_back(ToMs(record.latency()));
      late_refused += refusal_times.back() > 10 ? 1 : 0;
    }
  }
  const double span = seconds - 2 - warm_up;
  // A small organisation sends less than a tenth of the capacity, so its fair
  // share is all that it sends.
  double least_share = 1;
  for (const auto& [name, sent] : demand) {
    const double share = name == "o0" ? 0.6 * capacity * span : sent;
    least_share = std::min(least_share, by_organisation[name] / share);
  }
  std::printf(
      "bench=requests scenario=saturation policy=%s%s goodput=%.3f "
      "urgent_in_time=%.4f least_fair_share=%.3f refusal_p99_ms=%.1f "
      "refusal_max_ms=%.1f late_refusals=%.4f lost=%zu\n",
      ToString(policy), admission ? "" : "+fifo",
      on_time_calls / (capacity * span), urgent_on_time / urgent, least_share,
      Percentile(refusal_times, 0.99), Percentile(refusal_times, 1),
      refused > 0 ? late_refused / refused : 0, Lost(pool));
}

double SlowTargetP99(Policy policy, uint32_t slow) {
  PoolSettings settings;
  settings.m_policy = policy;
  settings.m_slow_targets = slow;
  FakePool pool(settings);
  const double rate = 0.6 * Capacity(settings, kShort);
  Arrivals arrivals;
  while (arrivals.m_at < 60) {
    model::CallBuilder builder;
    builder.Organisation("o").ExpectedTokens(kShort);
    pool.Add(arrivals.Next(rate), builder, 30s);
  }
  pool.Run(120s);
  return Percentile(Latencies(pool, [](const auto&) { return true; }), 0.99);
}

void SlowTarget(Policy policy) {
  const double without = SlowTargetP99(policy, 0);
  const double with = SlowTargetP99(policy, 1);
  std::printf(
      "bench=requests scenario=slow_target policy=%s p99_ms=%.1f "
      "p99_without_ms=%.1f ratio=%.2f\n",
      ToString(policy), with, without, with / without);
}

void ShortAndLong(Policy policy) {
  PoolSettings settings;
  settings.m_policy = policy;
  settings.m_gate_limit = 16;
  FakePool pool(settings);
  const double units = 0.9 * kShort + 0.1 * kLong;
  const double rate = 0.9 * Capacity(settings, units);
  Arrivals arrivals;
  while (arrivals.m_at < 60) {
    model::CallBuilder builder;
    builder.Organisation("o");
    builder.ExpectedTokens(arrivals.Pick(10) == 0 ? kLong : kShort);
    pool.Add(arrivals.Next(rate), builder, 30s);
  }
  pool.Run(120s);
  const auto is_short = [](const CallRecord& record) {
    return record.m_call.expected_tokens() == kShort;
  };
  const auto latencies = Latencies(pool, is_short);
  const auto long_latencies = Latencies(
      pool, [&](const CallRecord& record) { return !is_short(record); });
  std::printf(
      "bench=requests scenario=short_and_long policy=%s short_p50_ms=%.1f "
      "short_p99_ms=%.1f long_p50_ms=%.1f long_p99_ms=%.1f lost=%zu\n",
      ToString(policy), Percentile(latencies, 0.5), Percentile(latencies, 0.99),
      Percentile(long_latencies, 0.5), Percentile(long_latencies, 0.99),
      Lost(pool));
}

/// Three bursts of two seconds at five times the capacity, with idle times
/// between them.
void Bursts(Policy policy) {
  PoolSettings settings;
  settings.m_policy = policy;
  FakePool pool(settings);
  const double capacity = Capacity(settings, kShort);
  for (int burst = 0; burst < 3; ++burst) {
    Arrivals arrivals;
    arrivals.m_at = 5 + 10 * burst;
    while (arrivals.m_at < 7 + 10 * burst) {
      model::CallBuilder builder;
      builder.Organisation("o" + std::to_string(arrivals.Pick(10)));
      builder.ExpectedTokens(kShort);
      pool.Add(arrivals.Next(5 * capacity), builder, 1s);
    }
  }
  pool.Run(60s);
  double on_time_calls = 0, late = 0;
  for (const CallRecord& record : pool.records()) {
    on_time_calls += record.on_time() ? 1 : 0;
    late += record.m_completed && !record.on_time() ? 1 : 0;
  }
  std::printf(
      "bench=requests scenario=bursts policy=%s lost=%zu overdue_waiting=%zu "
      "in_time=%.0f completed_late=%.0f of=%zu\n",
      ToString(policy), Lost(pool), pool.worst_overdue(), on_time_calls, late,
      pool.records().size());
}

/// 300 prefixes whose frequencies follow Zipf's law; each target caches 40.
void PrefixReuse(Policy policy) {
  PoolSettings settings;
  settings.m_policy = policy;
  settings.m_max_cached = 40;
  settings.m_prefill = 100ms;
  FakePool pool(settings);
  const double rate = 0.6 * Capacity(settings, kShort);
  std::vector<double> weights;
  for (int i = 1; i <= 300; ++i)
    weights.push_back(1 / std::pow(i, 0.9));
  std::discrete_distribution<uint32_t> zipf(weights.begin(), weights.end());
  Arrivals arrivals;
  while (arrivals.m_at < 120) {
    model::CallBuilder builder;
    builder.Organisation("o").ExpectedTokens(kShort);
    builder.Prefix(MixHash("prefix", zipf(arrivals.m_random)));
    pool.Add(arrivals.Next(rate), builder, 30s);
  }
  pool.Run(200s);
  double cached = 0;
  for (const CallRecord& record : pool.records())
    cached += record.m_cached ? 1 : 0;
  const std::vector<double> work = pool.work();
  double total = 0;
  for (double units : work)
    total += units;
  const double most = *std::max_element(work.begin(), work.end());
  std::printf(
      "bench=requests scenario=prefix_reuse policy=%s cached_share=%.4f "
      "most_loaded_over_mean=%.3f p99_ms=%.1f\n",
      ToString(policy), cached / static_cast<double>(pool.records().size()),
      most * static_cast<double>(work.size()) / total,
      Percentile(Latencies(pool, [](const auto&) { return true; }), 0.99));
}

/// Half of the targets fail after 10 s.
void Outage(Policy policy) {
  PoolSettings settings;
  settings.m_policy = policy;
  settings.m_failed_targets = settings.m_targets / 2;
  settings.m_failed_from = 10s;
  FakePool pool(settings);
  const double rate = 0.8 * Capacity(settings, kShort);
  Arrivals arrivals;
  while (arrivals.m_at < 40) {
    model::CallBuilder builder;
    builder.Organisation("o" + std::to_string(arrivals.Pick(10)));
    builder.ExpectedTokens(kShort);
    pool.Add(arrivals.Next(rate), builder, 1s);
  }
  pool.Run(100s);
  double attempts = 0, attempted = 0, calls = 0, on_time_calls = 0;
  for (const CallRecord& record : pool.records()) {
    if (record.m_arrived < TimePoint{} + settings.m_failed_from)
      continue;
    ++calls;
    attempts += record.m_attempts;
    attempted += record.m_attempts > 0 ? 1 : 0;
    on_time_calls += record.on_time() ? 1 : 0;
  }
  std::printf(
      "bench=requests scenario=outage_of_half policy=%s "
      "attempts_per_request=%.3f attempts_per_started=%.3f in_time=%.3f "
      "lost=%zu\n",
      ToString(policy), attempts / calls, attempts / attempted,
      on_time_calls / calls, Lost(pool));
}

}  // namespace
}  // namespace verbenalead::decide::fake

int main() {
  using namespace verbenalead::decide::fake;
  for (Policy policy : kPolicies)
    Saturation(policy, true);
  Saturation(Policy::kRoundRobin, false);
  for (Policy policy : kPolicies)
    SlowTarget(policy);
  for (Policy policy : kPolicies)
    ShortAndLong(policy);
  for (Policy policy : kPolicies)
    Bursts(policy);
  for (Policy policy : kPolicies)
    PrefixReuse(policy);
  PrefixReuse(Policy::kOracle);
  for (Policy policy : kPolicies)
    Outage(policy);
  return 0;
}
