#include "base/metric_label.h"

namespace verbenalead {

std::string MetricLabel(std::string_view name, std::string_view value) {
  std::string label(name);
  label += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      label += '\\';
    if (c == '\n')
      label += "\\n";
    else
      label += c;
  }
  label += '"';
  return label;
}

}  // namespace verbenalead
