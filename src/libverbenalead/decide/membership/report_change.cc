#include "decide/membership/report_change.h"

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

constexpr char kSeparator = '.';
constexpr uint64_t kProgressSteps = 10;

/// `report` without the fields whose changes may wait.
model::TargetReport UrgentPart(model::TargetReport report) {
  report.m_running = 0;
  report.m_origin_bytes = 0;
  report.m_peer_bytes = 0;
  if (report.m_chunks_total > 0) {
    report.m_chunks_held = static_cast<uint32_t>(
        report.m_chunks_held * kProgressSteps / report.m_chunks_total);
  }
  return report;
}

std::string HashOf(const model::TargetReport& report) {
  return std::to_string(MixHash(ToJson(report), 0));
}

}  // namespace

std::string ReportMarkOf(const model::TargetReport& report) {
  return HashOf(UrgentPart(report)) + kSeparator + HashOf(report);
}

ReportChange CompareMarks(const std::string& mark, const std::string& seen) {
  if (mark == seen)
    return ReportChange::kNone;
  const bool same_urgent_part = mark.substr(0, mark.find(kSeparator)) ==
                                seen.substr(0, seen.find(kSeparator));
  return same_urgent_part ? ReportChange::kDeferrable : ReportChange::kUrgent;
}

}  // namespace verbenalead::decide
