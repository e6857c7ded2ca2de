#ifndef VERBENALEAD_DECIDE_HEALTH_CRASH_EVIDENCE_H_
#define VERBENALEAD_DECIDE_HEALTH_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "decide/health/crash_causes.h"

namespace verbenalead::decide {

/// Different requests that must have crashed replicas before their common part
/// is the likelier cause.
constexpr size_t kMinRequests = 2;

/// The crashes that count against one part.
struct CrashEvidence {
  uint64_t m_part = 0;
  std::set<uint64_t> m_requests;
  double m_weight = 0;
  /// Weight beyond the limit.
  double m_excess = 0;
  /// Orders parts that were present at the same crashes: the likeliest cause
  /// has the most. A request that crashes its replica seldom lets others begin,
  /// so a part under which several requests a crash were cut is less likely.
  double m_likelihood = 0;
  /// Minus the logarithm of the probability that as many requests with the part
  /// end with their replicas by coincidence.
  double m_surprise = 0;
  /// Share of the crashes since the first one under the part.
  double m_share = 0;
  /// Recent requests with the part that this entry has sent.
  double m_sent = 0;
  std::vector<std::string> m_incarnations;
};

/// The evidence against each part that was present at kMinRequests crashes or
/// more and isn't blocked, the likeliest cause first. Crashes younger than
/// `confirmation` don't count.
std::vector<CrashEvidence> FindCandidates(const CrashCauses& causes,
                                          Duration confirmation,
                                          TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_CRASH_EVIDENCE_H_
