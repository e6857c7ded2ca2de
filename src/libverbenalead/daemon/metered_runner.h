#ifndef VERBENALEAD_DAEMON_METERED_RUNNER_H_
#define VERBENALEAD_DAEMON_METERED_RUNNER_H_

#include <atomic>

#include "base/metrics.h"
#include "front/call_runner.h"

namespace verbenalead::daemon {

/// Counts and times calls for the metrics, and counts those in progress for the
/// log line of a shutdown. Wraps another runner.
class MeteredRunner : public front::CallRunner {
 public:
  MeteredRunner(front::CallRunner& runner, Metrics& metrics)
      : m_runner(runner), m_metrics(metrics) {}

  Awaitable<void> Run(model::Call call,
                      wire::Request request,
                      wire::ResponseWriter& writer) override;

  int running() const { return m_running; }

 private:
  front::CallRunner& m_runner;
  Metrics& m_metrics;
  std::atomic<int> m_running{0};
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_METERED_RUNNER_H_
