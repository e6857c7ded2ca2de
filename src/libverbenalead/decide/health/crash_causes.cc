#include "decide/health/crash_causes.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"
#include "decide/health/crash_verdict.h"

namespace verbenalead::decide {
namespace {

using Kind = CrashReport::Kind;

/// Data that is read this long after a suspected crash was sent after it. What
/// the replica had sent before is read at once.
constexpr Duration kInFlightData = 100ms;
/// Age from which cut requests have no weight.
constexpr Duration kMaxCutAge = 10 * kCountMemory;
/// Time for which reports of a crash may still come from entries that don't
/// know that the replica has answered since.
constexpr Duration kRecentAnswer = 5s;
/// Least time between two reports that a part was answered.
constexpr Duration kAnswerReportInterval = 300ms;

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

/// Merges `more`, which is about the same crash and part, into `known`. Returns
/// whether `known` has changed.
bool Merge(CrashCauses::Suspicion& known, const CrashCauses::Suspicion& more) {
  const CrashCauses::Suspicion before = known;
  known.m_had_head |= more.m_had_head;
  known.m_at = std::max(known.m_at, more.m_at);
  known.m_requests.insert(more.m_requests.begin(), more.m_requests.end());
  while (known.m_requests.size() > kMaxRequestsOfCrash)
    known.m_requests.erase(std::prev(known.m_requests.end()));
  return known.m_had_head != before.m_had_head ||
         known.m_requests != before.m_requests;
}

/// Adds one suspicion. Returns false if it is known already, or if an answer
/// or a blocked part shows that it is no evidence.
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
  return Merge(found->second, suspicion) || added;
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

/// Records that an answer at `at` has been reported. A report is repeated for
/// seconds, so the time at which it arrives can't be used in place of `at`.
void NoteReported(CrashCauses& causes, uint64_t part, TimePoint at) {
  TimePoint& reported = causes.m_answers_reported[part];
  reported = std::max(reported, at);
}

/// Reports to the other entries that the part was answered at `at`, unless an
/// answer was reported within kAnswerReportInterval.
void ReportAnswer(CrashCauses& causes,
                  uint64_t part,
                  TimePoint at,
                  TimePoint now) {
  const auto reported = causes.m_answers_reported.find(part);
  if (reported != causes.m_answers_reported.end() &&
      now - reported->second < kAnswerReportInterval)
    return;
  NoteReported(causes, part, now);
  AddReport(causes, {Kind::kAnswered, part, "", 0, false, at});
}

void ApplyAlive(CrashCauses& causes,
                const std::string& incarnation,
                TimePoint at) {
  TimePoint& alive = causes.m_alive[incarnation];
  alive = std::max(alive, at);
  const auto crashed = causes.m_crashed.find(incarnation);
  if (crashed != causes.m_crashed.end() && crashed->second <= at) {
    causes.m_crashed.erase(crashed);
    causes.m_cut.erase(incarnation);
  }
  for (auto& [part, crashes] : causes.m_suspects) {
    const auto crash = crashes.find(incarnation);
    if (crash != crashes.end() && crash->second.m_at <= at)
      crashes.erase(crash);
  }
  RemoveEmpty(causes);
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
  RemoveOlder(causes.m_answers_reported, now - kAnswerReportInterval);
  if (causes.m_sent.size() >= kMaxCrashCauses) {
    std::erase_if(causes.m_sent, [now](const auto& sent) {
      return now - sent.second.m_at > kCountMemory;
    });
  }
  std::erase_if(causes.m_cut, [now](const auto& cut) {
    return now - cut.second.m_at > kMaxCutAge;
  });
  if (causes.m_answered.size() >= kMaxCrashCauses)
    RemoveOlder(causes.m_answered, oldest);
  for (auto& [part, crashes] : causes.m_suspects) {
    std::erase_if(crashes, [oldest](const auto& crash) {
      return crash.second.m_at < oldest;
    });
  }
  RemoveEmpty(causes);
}

void CountCutRequest(CrashCauses& causes,
                     const std::string& incarnation,
                     TimePoint now) {
  if (causes.m_cut.size() >= kMaxCrashCauses &&
      !causes.m_cut.contains(incarnation))
    return;
  CrashCauses::CutRequests& cut = causes.m_cut[incarnation];
  cut.m_at = now;
  ++cut.m_count;
}

}  // namespace

uint64_t PartKey(const std::string& service, const std::string& part) {
  return StableHash().Add(service).Add(part).value();
}

void RecordCrash(CrashCauses& causes,
                 const std::string& incarnation,
                 const CrashedRequest& request,
                 TimePoint now) {
  CountCutRequest(causes, incarnation, now);
  const std::vector<uint64_t>& parts = request.m_parts;
  const auto blocked = std::find_if(
      parts.begin(), parts.end(),
      [&causes](uint64_t part) { return IsBlockedPart(causes, part); });
  const auto add = [&](uint64_t part) {
    if (AddSuspicion(causes, incarnation, part,
                     {now, {request.m_key}, request.m_had_head})) {
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

void RecordSent(CrashCauses& causes,
                const std::vector<uint64_t>& parts,
                TimePoint now) {
  for (const uint64_t part : parts) {
    if (causes.m_sent.size() < kMaxCrashCauses || causes.m_sent.contains(part))
      CountOne(causes.m_sent[part], now);
  }
}

void RecordAnswer(CrashCauses& causes,
                  const std::vector<uint64_t>& parts,
                  TimePoint now) {
  CountOne(causes.m_whole_answers, now);
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
                   {report.m_at, {report.m_request}, report.m_had_head});
      break;
    case Kind::kAnswered:
      ClearPart(causes, report.m_part, report.m_at);
      NoteReported(causes, report.m_part, report.m_at);
      break;
    case Kind::kAlive:
      ApplyAlive(causes, report.m_incarnation, report.m_at);
      break;
    case Kind::kBlocked:
      if (!answered_since && causes.m_blocked.size() < kMaxCrashCauses)
        Block(causes, report.m_part, report.m_at);
      break;
  }
  // The sender may not have received the report of the answer.
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
  causes.m_isolated = PartsToIsolate(causes, now);
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

std::optional<uint64_t> FindIsolated(const CrashCauses& causes,
                                     const std::vector<uint64_t>& parts) {
  const auto found = std::find_if(
      causes.m_isolated.begin(), causes.m_isolated.end(), [&](uint64_t part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
      });
  if (found == causes.m_isolated.end())
    return std::nullopt;
  return *found;
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
