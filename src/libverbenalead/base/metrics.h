#ifndef VERBENALEAD_BASE_METRICS_H_
#define VERBENALEAD_BASE_METRICS_H_

#include <memory>
#include <string>

namespace verbenalead {

/// Counters, gauges and summaries of one process, in the Prometheus text
/// exposition format. May be used from several threads; names are spread over
/// shards, each under its own lock.
///
///     metrics.Count("calls_total", "outcome=\"completed\"");
///     metrics.Observe("call_seconds", "", 0.120);
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds `amount` to a counter. `labels` is what stands between the braces.
  void Count(const std::string& name,
             const std::string& labels,
             double amount = 1);
  /// Sets a gauge.
  void Set(const std::string& name, const std::string& labels, double value);
  /// Adds a sample to a summary of count, sum and the quantiles 0.5, 0.95 and
  /// 0.99, estimated by Boost.Accumulators (extended P-square) over the whole
  /// life of the process.
  void Observe(const std::string& name,
               const std::string& labels,
               double sample);

  /// All of them, each name with its "verbenalead_" prefix.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_METRICS_H_
