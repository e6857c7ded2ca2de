#include "links/cold_log.h"

#include "base/log.h"

namespace verbenalead::links {
namespace {

/// Changes of the end by less aren't logged. The time in a row counts from when
/// it is read, so the end varies by the age of the rows.
constexpr Duration kLoggedChange = 1s;

const char* ToString(decide::ColdSource source) {
  switch (source) {
    case decide::ColdSource::kPresumed:
      return "presumed";
    case decide::ColdSource::kRow:
      return "row";
    case decide::ColdSource::kAnswer:
      return "answer";
  }
  return "unknown";
}

}  // namespace

bool LogColdChange(const std::string& replica,
                   const decide::ColdState& cold,
                   TimePoint& logged_until,
                   TimePoint now) {
  const bool is_cold = decide::IsCold(cold, now);
  const TimePoint until = is_cold ? cold.m_until : TimePoint();
  if (until == logged_until ||
      (is_cold && std::chrono::abs(until - logged_until) < kLoggedChange))
    return false;
  LogLine("replica_cold")
      .With("replica", replica)
      .With("cold", is_cold)
      .With("left_ms", is_cold ? ToMilliseconds(cold.m_until - now) : 0)
      .With("source", ToString(cold.m_source))
      .With("age_ms", ToMilliseconds(now - cold.m_observed_at))
      .With("row_revision", ToString(cold.m_revision))
      .Info();
  logged_until = until;
  return true;
}

void LogBadColdTime(const std::string& replica,
                    Duration left,
                    const std::string& source) {
  LogLine("cold_time_ignored")
      .With("replica", replica)
      .With("source", source)
      .With("left_ms", ToMilliseconds(left))
      .With("min_cold_start_ms", 0)
      .With("max_cold_start_ms", ToMilliseconds(decide::kMaxColdTime))
      .Warn();
}

void LogBadColdService(const model::Service& service) {
  LogLine("cold_config_ignored")
      .With("service", service.m_name)
      .With("cold_per_s", service.m_cold_rate)
      .With("above_per_s", 0)
      .With("max_per_s", decide::kMaxColdRate)
      .With("cold_start_ms", ToMilliseconds(service.m_cold_start))
      .With("min_ms", 0)
      .With("max_ms", ToMilliseconds(decide::kMaxColdTime))
      .Warn();
}

}  // namespace verbenalead::links
