#include "decide/health/crash_verdict.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace verbenalead::decide {
namespace {

/// The crashes of a part must be less likely by chance than exp(-kMinSurprise),
/// divided by the number of suspected parts.
constexpr double kMinSurprise = 5;
/// More of that for a part that has been answered before, and so is known not
/// to crash every replica.
constexpr double kMoreSurpriseAfterAnswer = 4;
/// The same as kMinSurprise for a part that is isolated, which harms its sound
/// requests little.
constexpr double kMinSurpriseToIsolate = 4;
/// Share of the crashes since its first one at which a part must have been
/// present. The parts of sound requests are present at few crashes, unless most
/// requests have them, which are soon answered.
constexpr double kMinShareOfCrashes = 1.0 / 3;

bool ShareACrash(const CrashEvidence& a, const CrashEvidence& b) {
  return std::any_of(a.m_incarnations.begin(), a.m_incarnations.end(),
                     [&b](const std::string& incarnation) {
                       return std::find(b.m_incarnations.begin(),
                                        b.m_incarnations.end(),
                                        incarnation) != b.m_incarnations.end();
                     });
}

/// Whether `other` is at least as likely the cause as `evidence`. Of two that
/// are equally likely, the one that fewer requests have is the likelier one:
/// more of the others would have crashed replicas too.
bool IsAsLikely(const CrashEvidence& other, const CrashEvidence& evidence) {
  return std::tuple(other.m_likelihood, -other.m_sent) >=
         std::tuple(evidence.m_likelihood, -evidence.m_sent);
}

/// Whether no part that was present at the same crashes is as likely the cause.
/// Parts that always come together can't be told apart; at the higher limit one
/// of them is blocked. If it isn't the cause, further crashes block the other.
bool IsLikeliest(const CrashEvidence& evidence,
                 const std::vector<CrashEvidence>& candidates,
                 bool may_tie) {
  return std::none_of(
      candidates.begin(), candidates.end(), [&](const CrashEvidence& other) {
        const bool ties = may_tie && IsAsLikely(evidence, other);
        return other.m_part != evidence.m_part && !ties &&
               IsAsLikely(other, evidence) && ShareACrash(other, evidence);
      });
}

double MinSurprise(const CrashCauses& causes, uint64_t part) {
  const auto parts = static_cast<double>(causes.m_suspects.size());
  const bool was_answered = causes.m_answered.contains(part);
  return kMinSurprise + std::log(std::max(1.0, parts)) +
         (was_answered ? kMoreSurpriseAfterAnswer : 0);
}

}  // namespace

std::optional<CrashEvidence> NextCause(const CrashCauses& causes,
                                       TimePoint now) {
  const std::vector<CrashEvidence> candidates =
      FindCandidates(causes, causes.m_limits.m_confirmation, now);
  for (const CrashEvidence& evidence : candidates) {
    if (evidence.m_excess >= 0 && evidence.m_requests.size() >= kMinRequests &&
        evidence.m_surprise >= MinSurprise(causes, evidence.m_part) &&
        evidence.m_share >= kMinShareOfCrashes &&
        IsLikeliest(
            evidence, candidates,
            evidence.m_weight >= causes.m_limits.m_crashes_after_answer))
      return evidence;
  }
  return std::nullopt;
}

std::vector<uint64_t> PartsToIsolate(const CrashCauses& causes, TimePoint now) {
  std::vector<uint64_t> parts;
  const std::vector<CrashEvidence> candidates =
      FindCandidates(causes, Duration(), now);
  for (const CrashEvidence& evidence : candidates) {
    if (evidence.m_surprise >= kMinSurpriseToIsolate &&
        IsLikeliest(evidence, candidates, true))
      parts.push_back(evidence.m_part);
  }
  return parts;
}

}  // namespace verbenalead::decide
