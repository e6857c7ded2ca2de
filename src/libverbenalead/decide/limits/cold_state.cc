#include "decide/limits/cold_state.h"

#include <algorithm>
#include <cmath>

namespace verbenalead::decide {
namespace {

/// Longest time from the grant of a token until the call reaches the replica,
/// in seconds.
constexpr double kMaxUnderWay = 0.1;

/// Whether `report` is about a time before the one that `known` is about, or
/// tells nothing that `known` doesn't.
bool IsOutdated(const ColdState& known, const ColdState& report) {
  if (known.m_observed_at == TimePoint())
    return false;
  switch (report.m_source) {
    case ColdSource::kRow:
      return report.m_revision <= known.m_revision;
    case ColdSource::kAnswer:
      return report.m_observed_at <= known.m_observed_at;
    case ColdSource::kPresumed:
      return report.m_revision <= known.m_revision ||
             (known.m_source == ColdSource::kAnswer &&
              report.m_observed_at <= known.m_observed_at);
  }
  return true;
}

/// Whether `report` ends the cold time earlier than a source does that may be
/// newer: an answer that came after the row was written, or, for a presumption,
/// any source.
bool MayNotShorten(const ColdState& known, const ColdState& report) {
  if (report.m_until >= known.m_until)
    return false;
  return report.m_source == ColdSource::kPresumed ||
         (report.m_source == ColdSource::kRow &&
          known.m_source == ColdSource::kAnswer &&
          report.m_observed_at < known.m_observed_at + kMaxRowDelay);
}

bool EndsTheSame(const ColdState& a, const ColdState& b, TimePoint now) {
  if (!IsCold(a, now) && !IsCold(b, now))
    return true;
  return IsCold(a, now) == IsCold(b, now) &&
         std::chrono::abs(a.m_until - b.m_until) < kSameColdEnd;
}

/// The limit by the cold rate alone.
GateLimit ColdLimit(const ColdLimits& limits) {
  const double calls = limits.m_rate * limits.m_overrun + limits.m_slack;
  const double size = calls - limits.m_rate * (1 + kMaxUnderWay);
  if (size >= 1)
    return {limits.m_rate, size};
  return {std::max(0.0, (calls - 1) / (1 + kMaxUnderWay)), 1};
}

}  // namespace

bool IsValidColdTime(Duration left) {
  return left >= Duration() && left <= kMaxColdTime;
}

bool IsValidColdRate(double rate) {
  return rate > 0 && rate <= kMaxColdRate;
}

ColdState ColdByRow(Duration left, model::Revision revision, TimePoint now) {
  return {now + left, ColdSource::kRow, revision, now, left > Duration()};
}

ColdState ColdByAnswer(Duration left, TimePoint now) {
  return {now + left, ColdSource::kAnswer, {}, now, left > Duration()};
}

ColdState PresumedCold(Duration cold_start,
                       model::Revision revision,
                       TimePoint now) {
  return {now + cold_start, ColdSource::kPresumed, revision, now,
          cold_start > Duration()};
}

bool MergeCold(ColdState& known, const ColdState& report, TimePoint now) {
  if (IsOutdated(known, report))
    return false;
  // A row that is passed over now is as old when it is read again.
  known.m_revision = std::max(known.m_revision, report.m_revision);
  if (MayNotShorten(known, report))
    return false;
  const bool knew_nothing = known.m_observed_at == TimePoint();
  const bool same = EndsTheSame(known, report, now);
  // The time of the first observation that it is warm is kept, as its end is
  // reported for a while from then on.
  if (!same || knew_nothing || IsCold(known, now)) {
    known.m_source = report.m_source;
    known.m_observed_at = report.m_observed_at;
  }
  known.m_was_cold |= report.m_was_cold;
  if (same)
    return false;
  known.m_until = report.m_until;
  return true;
}

GateLimit EffectiveLimit(std::optional<double> stated,
                         const ColdState& cold,
                         const ColdLimits& limits,
                         TimePoint now) {
  if (!IsCold(cold, now) || !IsValidColdRate(limits.m_rate))
    return {stated, std::nullopt};
  GateLimit limit = ColdLimit(limits);
  limit.m_rate = std::min(*limit.m_rate, stated.value_or(*limit.m_rate));
  return limit;
}

}  // namespace verbenalead::decide
