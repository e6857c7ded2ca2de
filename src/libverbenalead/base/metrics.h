#ifndef VERBENALEAD_BASE_METRICS_H_
#define VERBENALEAD_BASE_METRICS_H_

#include <memory>
#include <string>

namespace verbenalead {

/// The counters, gauges and summaries of one process, exported in the
/// Prometheus text exposition format. Thread-safe: metrics are distributed by
/// name over shards, each protected by its own lock.
///
///     metrics.Count("calls_total", "outcome=\"completed\"");
///     metrics.Observe("call_seconds", "", 0.120);
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds `amount` to a counter. `labels` is the text between the braces of the
  /// exposition format.
  void Count(const std::string& name,
             const std::string& labels,
             double amount = 1);
  /// Sets a gauge.
  void Set(const std::string& name, const std::string& labels, double value);
  /// Removes a gauge, for example of a replica that has gone.
  void Remove(const std::string& name, const std::string& labels);
  /// Adds a sample to a summary, which exports count, sum and the quantiles
  /// 0.5, 0.95 and 0.99. Boost.Accumulators estimates the quantiles (extended
  /// P-square) over all samples since the process started.
  void Observe(const std::string& name,
               const std::string& labels,
               double sample);

  /// Returns all metrics, each name with the prefix "verbenalead_".
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_METRICS_H_
