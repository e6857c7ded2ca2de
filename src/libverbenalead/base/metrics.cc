#include "base/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <functional>
#include <map>
#include <mutex>

namespace verbenalead {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Summary = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

struct Series {
  std::string m_name;
  std::string m_labels;

  friend auto operator<=>(const Series&, const Series&) = default;
};

std::string Join(const std::string& a, const std::string& b) {
  return a.empty() || b.empty() ? a + b : a + "," + b;
}

std::string Line(const std::string& name,
                 const std::string& labels,
                 double value) {
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  return fmt::format("verbenalead_{}{} {}\n", name, braces, value);
}

std::string SummaryLines(const Series& series, const Summary& summary) {
  std::string out;
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    const std::string quantile = fmt::format("quantile=\"{}\"", kQuantiles[i]);
    out += Line(series.m_name, Join(series.m_labels, quantile),
                acc::extended_p_square(summary)[i]);
  }
  out += Line(series.m_name + "_sum", series.m_labels, acc::sum(summary));
  out += Line(series.m_name + "_count", series.m_labels,
              static_cast<double>(acc::count(summary)));
  return out;
}

}  // namespace

struct Metrics::State {
  static constexpr size_t kShards = 8;

  struct Shard {
    std::mutex m_mutex;
    std::map<Series, double> m_counters;
    std::map<Series, double> m_gauges;
    std::map<Series, Summary> m_summaries;
  };

  Shard& ShardOf(const std::string& name) {
    return m_shards[std::hash<std::string>()(name) % kShards];
  }

  std::array<Shard, kShards> m_shards;
};

Metrics::Metrics() : m_state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name,
                    const std::string& labels,
                    double amount) {
  State::Shard& shard = m_state->ShardOf(name);
  std::lock_guard lock(shard.m_mutex);
  shard.m_counters[{name, labels}] += amount;
}

void Metrics::Set(const std::string& name,
                  const std::string& labels,
                  double value) {
  State::Shard& shard = m_state->ShardOf(name);
  std::lock_guard lock(shard.m_mutex);
  shard.m_gauges[{name, labels}] = value;
}

void Metrics::Remove(const std::string& name, const std::string& labels) {
  State::Shard& shard = m_state->ShardOf(name);
  const std::lock_guard lock(shard.m_mutex);
  shard.m_gauges.erase({name, labels});
}

void Metrics::Observe(const std::string& name,
                      const std::string& labels,
                      double sample) {
  State::Shard& shard = m_state->ShardOf(name);
  std::lock_guard lock(shard.m_mutex);
  auto [found, added] = shard.m_summaries.try_emplace(
      {name, labels},
      Summary(acc::extended_p_square_probabilities = kQuantiles));
  found->second(sample);
}

std::string Metrics::Text() const {
  std::map<std::string, std::string> by_name;
  auto add = [&](const Series& series, const char* type,
                 const std::string& lines) {
    std::string& text = by_name[series.m_name];
    if (text.empty())
      text = fmt::format("# TYPE verbenalead_{} {}\n", series.m_name, type);
    text += lines;
  };
  for (State::Shard& shard : m_state->m_shards) {
    std::lock_guard lock(shard.m_mutex);
    for (const auto& [series, value] : shard.m_counters)
      add(series, "counter", Line(series.m_name, series.m_labels, value));
    for (const auto& [series, value] : shard.m_gauges)
      add(series, "gauge", Line(series.m_name, series.m_labels, value));
    for (const auto& [series, summary] : shard.m_summaries)
      add(series, "summary", SummaryLines(series, summary));
  }
  std::string out;
  for (const auto& [name, text] : by_name)
    out += text;
  return out;
}

}  // namespace verbenalead
