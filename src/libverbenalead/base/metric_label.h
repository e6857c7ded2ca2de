#ifndef VERBENALEAD_BASE_METRIC_LABEL_H_
#define VERBENALEAD_BASE_METRIC_LABEL_H_

#include <string>
#include <string_view>

namespace verbenalead {

/// Returns a label for Metrics, such as `service="pool"`, with `value` escaped
/// as the exposition format asks: a quote in a name from outside would end the
/// label, and the whole page of metrics could not be read.
std::string MetricLabel(std::string_view name, std::string_view value);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_METRIC_LABEL_H_
