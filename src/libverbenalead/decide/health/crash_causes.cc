#include "decide/health/crash_causes.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
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
/// Time in which the weight of answers and of cut requests falls to 1/e.
constexpr Duration kMemory = 10s;
/// Share of its weight that a crash loses if one under the same request counts
/// already.
constexpr double kDiscountOfRepeated = 0.25;
/// Age from which cut requests have no weight.
constexpr Duration kMaxCutAge = 10 * kMemory;
/// Whole answers that are assumed beside those that were seen, so that an entry
/// without any takes one cut request in ten for usual.
constexpr double kAssumedAnswers = 10;
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

/// Adds what `more` says of other requests with the part at the same crash.
/// Returns whether that is news.
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

/// Share of its weight that an event of `age` still has.
double WeightAt(Duration age) {
  return std::exp(-std::chrono::duration<double>(age) / kMemory);
}

double CountAt(const CrashCauses::RecentCount& recent, TimePoint now) {
  return recent.m_count * WeightAt(now - recent.m_at);
}

void CountOne(CrashCauses::RecentCount& recent, TimePoint now) {
  recent.m_count = CountAt(recent, now) + 1;
  recent.m_at = now;
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

/// Records that the other entries have been told of an answer at `at`. Reports
/// are repeated for seconds, so the time of the report says nothing.
void NoteTold(CrashCauses& causes, uint64_t part, TimePoint at) {
  TimePoint& told = causes.m_told_answered[part];
  told = std::max(told, at);
}

/// Tells the other entries, unless they were told lately, that the part was
/// answered at `at`.
void ReportAnswer(CrashCauses& causes,
                  uint64_t part,
                  TimePoint at,
                  TimePoint now) {
  const auto told = causes.m_told_answered.find(part);
  if (told != causes.m_told_answered.end() &&
      now - told->second < kAnswerReportInterval)
    return;
  NoteTold(causes, part, now);
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

/// The crashes that count against one part.
struct Evidence {
  uint64_t m_part = 0;
  std::set<uint64_t> m_requests;
  double m_weight = 0;
  /// Weight beyond the limit.
  double m_excess = 0;
  /// Orders parts that were present at the same crashes: the likeliest cause
  /// has the most. A request that crashes its replica seldom lets others begin,
  /// so a part under which several requests a crash were cut is less likely.
  double m_likelihood = 0;
  /// How unlikely it is that so many requests with the part end with their
  /// replicas by chance.
  double m_surprise = 0;
  /// Share of the crashes since the first one under the part.
  double m_share = 0;
  /// Requests with the part that this entry has sent lately.
  double m_sent = 0;
  std::vector<std::string> m_incarnations;
};

using Crashes = std::map<std::string, CrashCauses::Suspicion>;

/// The weight of cut requests of this entry at the crash of `incarnation`.
double CutAt(const CrashCauses& causes,
             const std::string& incarnation,
             TimePoint now) {
  const auto found = causes.m_cut.find(incarnation);
  if (found == causes.m_cut.end() || causes.m_explained.contains(incarnation))
    return 0;
  return found->second.m_count * WeightAt(now - found->second.m_at);
}

/// The weight of all cut requests of this entry whose crash isn't explained.
double CutRequestsOf(const CrashCauses& causes, TimePoint now) {
  double cut = 0;
  for (const auto& [incarnation, requests] : causes.m_cut)
    cut += CutAt(causes, incarnation, now);
  return cut;
}

/// The chance that a request ends with its replica for another reason than the
/// part that was present at `crashes`. The other requests at these crashes came
/// down with it and count for nothing. If the part is known not to crash every
/// replica, they count, and one request a crash doesn't.
double ChanceOfCut(const CrashCauses& causes,
                   const Crashes& crashes,
                   bool was_answered,
                   double all_cut,
                   TimePoint now) {
  double cut = all_cut;
  for (const auto& [incarnation, suspicion] : crashes) {
    const double here = CutAt(causes, incarnation, now);
    const double one = WeightAt(now - suspicion.m_at);
    cut -= was_answered ? std::min(here, one) : here;
  }
  cut = std::max(0.0, cut);
  const double answered = CountAt(causes.m_whole_answers, now);
  return (cut + 1) / (cut + answered + kAssumedAnswers);
}

/// When each crash was, and its weight.
using Weights = std::vector<std::pair<TimePoint, double>>;

double SumOf(const Weights& crashes) {
  double sum = 0;
  for (const auto& [at, weight] : crashes)
    sum += weight;
  return sum;
}

/// The weight of crashes, of which those close to each other count as one.
double WeightOf(Weights crashes) {
  std::sort(crashes.begin(), crashes.end());
  double sum = 0;
  TimePoint last = TimePoint::min();
  for (const auto& [at, weight] : crashes) {
    if (last != TimePoint::min() && at - last < kSameFailure)
      continue;
    last = at;
    sum += weight;
  }
  return sum;
}

/// The number of crashes since `first` that aren't explained.
size_t CrashesSince(const CrashCauses& causes, TimePoint first) {
  return static_cast<size_t>(std::count_if(
      causes.m_crashed.begin(), causes.m_crashed.end(), [&](const auto& crash) {
        return crash.second >= first &&
               !causes.m_explained.contains(crash.first);
      }));
}

double RecentlySent(const CrashCauses& causes, uint64_t part, TimePoint now) {
  const auto found = causes.m_sent.find(part);
  return found == causes.m_sent.end() ? 0 : CountAt(found->second, now);
}

/// The weight of `crashes` under fewer different requests, as a share of their
/// weight: a further crash under the same request counts less, since its cause
/// may be the request itself.
double ShareOfRepeated(double requests, double crashes) {
  const double repeated = std::max(0.0, crashes - requests);
  return (crashes - kDiscountOfRepeated * repeated) / crashes;
}

double LimitOf(const CrashCauses& causes, uint64_t part) {
  return causes.m_answered.contains(part)
             ? causes.m_limits.m_crashes_after_answer
             : causes.m_limits.m_crashes;
}

Evidence EvidenceAgainst(const CrashCauses& causes,
                         uint64_t part,
                         const Crashes& crashes,
                         double all_cut,
                         Duration confirmation,
                         TimePoint now) {
  Evidence evidence;
  evidence.m_part = part;
  Weights weights;
  for (const auto& [incarnation, suspicion] : crashes) {
    if (now - suspicion.m_at < confirmation)
      continue;
    evidence.m_incarnations.push_back(incarnation);
    evidence.m_requests.insert(suspicion.m_requests.begin(),
                               suspicion.m_requests.end());
    weights.emplace_back(suspicion.m_at,
                         suspicion.m_had_head ? 1.0 : kWeightWithoutHead);
  }
  if (weights.empty())
    return evidence;
  const auto count = static_cast<double>(weights.size());
  const TimePoint first =
      std::min_element(weights.begin(), weights.end())->first;
  const size_t all = CrashesSince(causes, first - kSameFailure);
  evidence.m_share = count / static_cast<double>(std::max<size_t>(1, all));
  evidence.m_sent = RecentlySent(causes, part, now);
  const auto requests = static_cast<double>(evidence.m_requests.size());
  const double of_requests = SumOf(weights) * ShareOfRepeated(requests, count);
  const double weight = WeightOf(std::move(weights));
  const double limit = LimitOf(causes, part);
  evidence.m_likelihood = weight - limit - requests / count;
  evidence.m_weight = std::min(weight, of_requests);
  evidence.m_excess = evidence.m_weight - limit;
  evidence.m_surprise =
      -std::log(ChanceOfCut(causes, crashes, causes.m_answered.contains(part),
                            all_cut, now)) *
      evidence.m_weight;
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

/// Whether `other` is at least as likely the cause as `evidence`. Of two that
/// are equally likely, the one that fewer requests have is the likelier one:
/// more of the others would have crashed replicas too.
bool IsAsLikely(const Evidence& other, const Evidence& evidence) {
  return std::tuple(other.m_likelihood, -other.m_sent) >=
         std::tuple(evidence.m_likelihood, -evidence.m_sent);
}

/// Whether no part that was present at the same crashes is as likely the cause.
/// Parts that always come together can't be told apart; at the higher limit one
/// of them is blocked. If it isn't the cause, further crashes block the other.
bool IsLikeliest(const Evidence& evidence,
                 const std::vector<Evidence>& candidates,
                 bool may_tie) {
  return std::none_of(
      candidates.begin(), candidates.end(), [&](const Evidence& other) {
        const bool ties = may_tie && IsAsLikely(evidence, other);
        return other.m_part != evidence.m_part && !ties &&
               IsAsLikely(other, evidence) && ShareACrash(other, evidence);
      });
}

/// The evidence against parts at several crashes, the likeliest cause first.
/// Crashes count from `confirmation` on.
std::vector<Evidence> Candidates(const CrashCauses& causes,
                                 Duration confirmation,
                                 TimePoint now) {
  const double all_cut = CutRequestsOf(causes, now);
  std::vector<Evidence> candidates;
  for (const auto& [part, crashes] : causes.m_suspects) {
    if (!IsBlockedPart(causes, part) && crashes.size() >= kMinRequests)
      candidates.push_back(
          EvidenceAgainst(causes, part, crashes, all_cut, confirmation, now));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Evidence& a, const Evidence& b) {
              return std::tuple(a.m_likelihood, -a.m_sent) >
                     std::tuple(b.m_likelihood, -b.m_sent);
            });
  return candidates;
}

double MinSurprise(const CrashCauses& causes, uint64_t part) {
  const auto parts = static_cast<double>(causes.m_suspects.size());
  const bool was_answered = causes.m_answered.contains(part);
  return kMinSurprise + std::log(std::max(1.0, parts)) +
         (was_answered ? kMoreSurpriseAfterAnswer : 0);
}

/// The part that is to be blocked next.
std::optional<Evidence> NextCause(const CrashCauses& causes, TimePoint now) {
  const std::vector<Evidence> candidates =
      Candidates(causes, causes.m_limits.m_confirmation, now);
  for (const Evidence& evidence : candidates) {
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

/// The parts to isolate, the likeliest cause first.
std::vector<uint64_t> PartsToIsolate(const CrashCauses& causes, TimePoint now) {
  std::vector<uint64_t> parts;
  const std::vector<Evidence> candidates = Candidates(causes, Duration(), now);
  for (const Evidence& evidence : candidates) {
    if (evidence.m_surprise >= kMinSurpriseToIsolate &&
        IsLikeliest(evidence, candidates, true))
      parts.push_back(evidence.m_part);
  }
  return parts;
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
  if (causes.m_sent.size() >= kMaxCrashCauses) {
    std::erase_if(causes.m_sent, [now](const auto& sent) {
      return now - sent.second.m_at > kMemory;
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
      NoteTold(causes, report.m_part, report.m_at);
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
