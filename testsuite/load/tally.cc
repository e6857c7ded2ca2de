#include "load/tally.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalead::load {
namespace {

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the given quantile of `samples`, which must be sorted; 0 if empty.
double Quantile(const std::vector<double>& samples, double quantile) {
  if (samples.empty())
    return 0;
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(quantile * last)];
}

std::string Quantiles(const std::string& name, std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  std::string text;
  for (const auto& [label, quantile] :
       {std::pair{"p50", 0.5}, std::pair{"p95", 0.95}, std::pair{"p99", 0.99},
        std::pair{"max", 1.0}}) {
    text += fmt::format(" {}_{}_ms={:.3f}", name, label,
                        Quantile(samples, quantile));
  }
  return text;
}

}  // namespace

void Tally::Add(const std::string& outcome, Duration first, Duration whole) {
  ++m_outcomes[outcome];
  if (outcome != "completed")
    return;
  m_first_byte_ms.push_back(Milliseconds(first));
  m_total_ms.push_back(Milliseconds(whole));
}

std::string Tally::Line(Duration elapsed) const {
  uint64_t requests = 0;
  std::string outcomes;
  for (const auto& [outcome, count] : m_outcomes) {
    requests += count;
    outcomes += fmt::format(" {}={}", outcome, count);
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return fmt::format(
      "requests={} per_second={:.1f} not_sent={}{}{}{}", requests,
      static_cast<double>(requests) / seconds, m_unsent_count, outcomes,
      Quantiles("first", m_first_byte_ms), Quantiles("whole", m_total_ms));
}

}  // namespace verbenalead::load
