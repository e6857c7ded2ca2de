#include "daemon/metered_runner.h"

#include <string>

#include "base/metric_label.h"

namespace verbenalead::daemon {

Awaitable<void> MeteredRunner::Run(model::Call call,
                                   wire::Request request,
                                   wire::ResponseWriter& writer) {
  ++m_running;
  const TimePoint start = Now();
  const std::string labels = MetricLabel("pool", call.pool());
  co_await m_runner.Run(std::move(call), std::move(request), writer);
  m_metrics.Count("calls_total", labels);
  m_metrics.Observe("call_seconds", labels,
                    std::chrono::duration<double>(Now() - start).count());
  --m_running;
}

}  // namespace verbenalead::daemon
