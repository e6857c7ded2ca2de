#include "decide/health/crash_causes.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/stable_hash.h"

namespace verbenalead::decide {
namespace {

using Kind = CrashReport::Kind;

/// Weight of a crash under a request that had no head of an answer: it may have
/// been waiting in the replica's queue.
constexpr double kWeightWithoutHead = 0.6;
/// Crashes closer to each other count as one. Replicas that fail together, with
/// their rack or data centre, are no evidence against what they all had.
constexpr Duration kSameFailure = 50ms;
/// Data that is read this long after a suspected crash was sent after it. What
/// the replica had sent before is read at once.
constexpr Duration kInFlightData = 100ms;
/// Different requests that must have crashed replicas before their common part
/// is the likelier cause.
constexpr size_t kMinRequests = 2;
/// Time for which reports of a crash may still come from entries that don't
/// know that the replica has answered since.
constexpr Duration kRecentAnswer = 5s;
/// Least time between two reports that a part was answered.
constexpr Duration kAnswerReportInterval = 2s;

void AddReport(CrashCauses& causes, CrashReport report) {
  if (causes.m_unsent.size() < kMaxCrashCauses)
    causes.m_unsent.push_back(std::move(report));
}

/// Removes parts without suspicions.
void RemoveEmpty(CrashCauses& causes) {
  std::erase_if(causes.m_suspects,
                [](const auto& suspect) { return suspect.second.empty(); });
}

/// Removes the suspicions against all parts for the crash of `incarnation`,
/// except against `kept`.
void RemoveCrash(CrashCauses& causes,
                 const std::string& incarnation,
                 uint64_t kept = 0) {
  for (auto& [part, crashes] : causes.m_suspects) {
    if (part != kept)
      crashes.erase(incarnation);
  }
  RemoveEmpty(causes);
}

void Explain(CrashCauses& causes,
             const std::string& incarnation,
             uint64_t part,
             TimePoint at) {
  causes.m_explained[incarnation] = at;
  RemoveCrash(causes, incarnation, part);
}

bool IsBlockedPart(const CrashCauses& causes, uint64_t part) {
  return causes.m_blocked.contains(part);
}

/// Adds one suspicion; false if it is known, or is no evidence.
bool AddSuspicion(CrashCauses& causes,
                  const std::string& incarnation,
                  uint64_t part,
                  CrashCauses::Suspicion suspicion) {
  if (IsBlockedPart(causes, part)) {
    if (causes.m_explained.contains(incarnation))
      return false;
    Explain(causes, incarnation, part, suspicion.m_at);
    return true;
  }
  const auto answered = causes.m_answered.find(part);
  const bool cleared =
      answered != causes.m_answered.end() && answered->second >= suspicion.m_at;
  const auto alive = causes.m_alive.find(incarnation);
  const bool survived =
      alive != causes.m_alive.end() && alive->second >= suspicion.m_at;
  if (cleared || survived || causes.m_explained.contains(incarnation))
    return false;
  if (causes.m_suspects.size() >= kMaxCrashCauses &&
      !causes.m_suspects.contains(part))
    return false;
  causes.m_crashed.try_emplace(incarnation, suspicion.m_at);
  const auto [found, added] =
      causes.m_suspects[part].try_emplace(incarnation, suspicion);
  // Several requests with the part may have been at the replica.
  CrashCauses::Suspicion& known = found->second;
  const bool stronger = suspicion.m_had_head && !known.m_had_head;
  known.m_had_head |= suspicion.m_had_head;
  known.m_at = std::max(known.m_at, suspicion.m_at);
  known.m_request = std::min(known.m_request, suspicion.m_request);
  return added || stronger;
}

/// Applies an answer at `at` to a request with the part. Returns whether the
/// part was suspected or blocked until then.
bool ClearPart(CrashCauses& causes, uint64_t part, TimePoint at) {
  bool changed = false;
  const auto blocked = causes.m_blocked.find(part);
  if (blocked != causes.m_blocked.end() && blocked->second <= at) {
    causes.m_blocked.erase(blocked);
    changed = true;
  }
  const auto suspect = causes.m_suspects.find(part);
  if (suspect != causes.m_suspects.end()) {
    changed |= std::erase_if(suspect->second, [at](const auto& crash) {
                 return crash.second.m_at <= at;
               }) > 0;
    if (suspect->second.empty())
      causes.m_suspects.erase(suspect);
  }
  const auto answered = causes.m_answered.find(part);
  if (answered != causes.m_answered.end())
    answered->second = std::max(answered->second, at);
  else if (causes.m_answered.size() < kMaxCrashCauses)
    causes.m_answered[part] = at;
  return changed;
}

/// Blocks the part; the crashes at which it was present are explained.
void Block(CrashCauses& causes, uint64_t part, TimePoint since) {
  if (!causes.m_blocked.try_emplace(part, since).second)
    return;
  const auto suspect = causes.m_suspects.find(part);
  if (suspect == causes.m_suspects.end())
    return;
  const auto crashes = std::move(suspect->second);
  causes.m_suspects.erase(suspect);
  for (const auto& [incarnation, suspicion] : crashes)
    Explain(causes, incarnation, part, suspicion.m_at);
}

/// Tells the other entries, unless they were told lately, that the part was
/// answered at `at`.
void ReportAnswer(CrashCauses& causes,
                  uint64_t part,
                  TimePoint at,
                  TimePoint now) {
  TimePoint& told = causes.m_told_answered[part];
  if (told != TimePoint() && now - told < kAnswerReportInterval)
    return;
  told = now;
  AddReport(causes, {Kind::kAnswered, part, "", 0, false, at});
}

void ApplyAlive(CrashCauses& causes,
                const std::string& incarnation,
                TimePoint at) {
  TimePoint& alive = causes.m_alive[incarnation];
  alive = std::max(alive, at);
  const auto crashed = causes.m_crashed.find(incarnation);
  if (crashed != causes.m_crashed.end() && crashed->second <= at)
    causes.m_crashed.erase(crashed);
  for (auto& [part, crashes] : causes.m_suspects) {
    const auto crash = crashes.find(incarnation);
    if (crash != crashes.end() && crash->second.m_at <= at)
      crashes.erase(crash);
  }
  RemoveEmpty(causes);
}

/// The crashes that count against one part.
struct Evidence {
  uint64_t m_part = 0;
  std::set<uint64_t> m_requests;
  double m_weight = 0;
  /// Weight beyond the limit.
  double m_excess = 0;
  std::vector<std::string> m_incarnations;
};

Evidence EvidenceAgainst(
    const CrashCauses& causes,
    uint64_t part,
    const std::map<std::string, CrashCauses::Suspicion>& crashes,
    TimePoint now) {
  Evidence evidence;
  evidence.m_part = part;
  std::vector<std::pair<TimePoint, double>> weights;
  for (const auto& [incarnation, suspicion] : crashes) {
    if (now - suspicion.m_at < causes.m_limits.m_confirmation)
      continue;
    evidence.m_incarnations.push_back(incarnation);
    evidence.m_requests.insert(suspicion.m_request);
    weights.emplace_back(suspicion.m_at,
                         suspicion.m_had_head ? 1.0 : kWeightWithoutHead);
  }
  std::sort(weights.begin(), weights.end());
  TimePoint last = TimePoint::min();
  for (const auto& [at, weight] : weights) {
    if (last != TimePoint::min() && at - last < kSameFailure)
      continue;
    last = at;
    evidence.m_weight += weight;
  }
  const bool answered = causes.m_answered.contains(part);
  evidence.m_excess =
      evidence.m_weight - (answered ? causes.m_limits.m_crashes_after_answer
                                    : causes.m_limits.m_crashes);
  return evidence;
}

bool ShareACrash(const Evidence& a, const Evidence& b) {
  return std::any_of(a.m_incarnations.begin(), a.m_incarnations.end(),
                     [&b](const std::string& incarnation) {
                       return std::find(b.m_incarnations.begin(),
                                        b.m_incarnations.end(),
                                        incarnation) != b.m_incarnations.end();
                     });
}

/// Whether no part that was present at the same crashes is as likely the cause.
/// Parts that always come together can't be told apart; at the higher limit one
/// of them is blocked. If it isn't the cause, further crashes block the other.
bool IsLikeliest(const CrashCauses& causes,
                 const Evidence& evidence,
                 const std::vector<Evidence>& candidates) {
  if (evidence.m_weight >= causes.m_limits.m_crashes_after_answer)
    return true;
  return std::none_of(candidates.begin(), candidates.end(),
                      [&](const Evidence& other) {
                        return other.m_part != evidence.m_part &&
                               other.m_excess >= evidence.m_excess &&
                               ShareACrash(other, evidence);
                      });
}

/// The part that is to be blocked next.
std::optional<Evidence> NextCause(const CrashCauses& causes, TimePoint now) {
  std::vector<Evidence> candidates;
  for (const auto& [part, crashes] : causes.m_suspects) {
    if (IsBlockedPart(causes, part) || crashes.size() < kMinRequests)
      continue;
    Evidence evidence = EvidenceAgainst(causes, part, crashes, now);
    candidates.push_back(std::move(evidence));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Evidence& a, const Evidence& b) {
              return a.m_excess > b.m_excess;
            });
  for (const Evidence& evidence : candidates) {
    if (evidence.m_excess < 0)
      break;
    if (evidence.m_requests.size() >= kMinRequests &&
        IsLikeliest(causes, evidence, candidates))
      return evidence;
  }
  return std::nullopt;
}

template <typename Times>
void RemoveOlder(Times& times, TimePoint oldest) {
  std::erase_if(times,
                [oldest](const auto& each) { return each.second < oldest; });
}

void RemoveExpired(CrashCauses& causes, TimePoint now) {
  const TimePoint oldest = now - causes.m_limits.m_lifetime;
  RemoveOlder(causes.m_blocked, oldest);
  RemoveOlder(causes.m_explained, oldest);
  RemoveOlder(causes.m_crashed, oldest);
  RemoveOlder(causes.m_alive, oldest);
  RemoveOlder(causes.m_told_answered, now - kAnswerReportInterval);
  if (causes.m_answered.size() >= kMaxCrashCauses)
    RemoveOlder(causes.m_answered, oldest);
  for (auto& [part, crashes] : causes.m_suspects) {
    std::erase_if(crashes, [oldest](const auto& crash) {
      return crash.second.m_at < oldest;
    });
  }
  RemoveEmpty(causes);
}

}  // namespace

uint64_t PartKey(const std::string& service, const std::string& part) {
  return StableHash().Add(service).Add(part).value();
}

void RecordCrash(CrashCauses& causes,
                 const std::string& incarnation,
                 const CrashedRequest& request,
                 TimePoint now) {
  const std::vector<uint64_t>& parts = request.m_parts;
  const auto blocked = std::find_if(
      parts.begin(), parts.end(),
      [&causes](uint64_t part) { return IsBlockedPart(causes, part); });
  const auto add = [&](uint64_t part) {
    if (AddSuspicion(causes, incarnation, part,
                     {now, request.m_key, request.m_had_head})) {
      AddReport(causes, {Kind::kSuspect, part, incarnation, request.m_key,
                         request.m_had_head, now});
    }
  };
  if (blocked != parts.end()) {
    add(*blocked);
    return;
  }
  for (const uint64_t part : parts)
    add(part);
}

void RecordAnswer(CrashCauses& causes,
                  const std::vector<uint64_t>& parts,
                  TimePoint now) {
  for (const uint64_t part : parts) {
    if (ClearPart(causes, part, now))
      ReportAnswer(causes, part, now, now);
  }
}

bool RecordData(CrashCauses& causes,
                const std::string& incarnation,
                TimePoint now) {
  const auto crashed = causes.m_crashed.find(incarnation);
  if (crashed == causes.m_crashed.end() ||
      now - crashed->second < kInFlightData)
    return false;
  ApplyAlive(causes, incarnation, now);
  AddReport(causes, {Kind::kAlive, 0, incarnation, 0, false, now});
  return true;
}

void ApplyReport(CrashCauses& causes,
                 const CrashReport& report,
                 TimePoint now) {
  const auto answered = causes.m_answered.find(report.m_part);
  const bool answered_since =
      answered != causes.m_answered.end() && answered->second >= report.m_at;
  switch (report.m_kind) {
    case Kind::kSuspect:
      AddSuspicion(causes, report.m_incarnation, report.m_part,
                   {report.m_at, report.m_request, report.m_had_head});
      break;
    case Kind::kAnswered:
      ClearPart(causes, report.m_part, report.m_at);
      causes.m_told_answered[report.m_part] = now;
      break;
    case Kind::kAlive:
      ApplyAlive(causes, report.m_incarnation, report.m_at);
      break;
    case Kind::kBlocked:
      if (!answered_since && causes.m_blocked.size() < kMaxCrashCauses)
        Block(causes, report.m_part, report.m_at);
      break;
  }
  // The sender may not know of the answer.
  const bool counts_against_part =
      report.m_kind == Kind::kSuspect || report.m_kind == Kind::kBlocked;
  if (counts_against_part && answered != causes.m_answered.end())
    ReportAnswer(causes, report.m_part, answered->second, now);
}

std::vector<BlockedPart> BlockCauses(CrashCauses& causes, TimePoint now) {
  RemoveExpired(causes, now);
  std::vector<BlockedPart> blocked;
  while (const auto cause = NextCause(causes, now)) {
    Block(causes, cause->m_part, now);
    AddReport(causes, {Kind::kBlocked, cause->m_part, "", 0, false, now});
    blocked.push_back({cause->m_part, cause->m_incarnations});
  }
  return blocked;
}

std::optional<uint64_t> FindBlocked(const CrashCauses& causes,
                                    const std::vector<uint64_t>& parts,
                                    TimePoint now) {
  for (const uint64_t part : parts) {
    const auto found = causes.m_blocked.find(part);
    if (found != causes.m_blocked.end() &&
        now - found->second <= causes.m_limits.m_lifetime)
      return part;
  }
  return std::nullopt;
}

bool IsExplained(const CrashCauses& causes,
                 const std::string& incarnation,
                 TimePoint now) {
  const auto alive = causes.m_alive.find(incarnation);
  return causes.m_explained.contains(incarnation) ||
         (alive != causes.m_alive.end() && now - alive->second < kRecentAnswer);
}

std::vector<CrashReport> TakeReports(CrashCauses& causes) {
  return std::exchange(causes.m_unsent, {});
}

std::vector<CrashReport> BlockedReports(const CrashCauses& causes) {
  std::vector<CrashReport> reports;
  for (const auto& [part, since] : causes.m_blocked)
    reports.push_back({Kind::kBlocked, part, "", 0, false, since});
  return reports;
}

}  // namespace verbenalead::decide
