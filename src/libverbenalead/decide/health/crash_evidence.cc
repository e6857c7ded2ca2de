#include "decide/health/crash_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace verbenalead::decide {
namespace {

/// Weight of a crash under a request that had no head of an answer: it may have
/// been waiting in the replica's queue.
constexpr double kWeightWithoutHead = 0.6;
/// Crashes closer to each other count as one. Replicas that fail together, with
/// their rack or data centre, are no evidence against what they all had.
constexpr Duration kSameFailure = 50ms;
/// Share of its weight that a crash loses if one under the same request counts
/// already.
constexpr double kDiscountOfRepeated = 0.25;
/// Whole answers that are assumed beside those that were seen, so that an entry
/// without any takes one cut request in ten for usual.
constexpr double kAssumedAnswers = 10;

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

/// The probability that a request ends with its replica for another reason than
/// the part that was present at `crashes`. Other requests that these crashes
/// ended don't count, as the part may have caused them. If the part is known
/// not to crash every replica, they count, except one request a crash.
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

/// Adds the crashes that are older than `confirmation` to `evidence`, and
/// returns their weights.
Weights AddCrashes(CrashEvidence& evidence,
                   const Crashes& crashes,
                   Duration confirmation,
                   TimePoint now) {
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
  return weights;
}

double ShareOfCrashes(const CrashCauses& causes, const Weights& weights) {
  const TimePoint first =
      std::min_element(weights.begin(), weights.end())->first;
  const size_t all = CrashesSince(causes, first - kSameFailure);
  return static_cast<double>(weights.size()) /
         static_cast<double>(std::max<size_t>(1, all));
}

CrashEvidence EvidenceAgainst(const CrashCauses& causes,
                              uint64_t part,
                              const Crashes& crashes,
                              double all_cut,
                              Duration confirmation,
                              TimePoint now) {
  CrashEvidence evidence;
  evidence.m_part = part;
  Weights weights = AddCrashes(evidence, crashes, confirmation, now);
  if (weights.empty())
    return evidence;
  evidence.m_share = ShareOfCrashes(causes, weights);
  evidence.m_sent = RecentlySent(causes, part, now);
  const auto count = static_cast<double>(weights.size());
  const auto requests = static_cast<double>(evidence.m_requests.size());
  const double of_requests = SumOf(weights) * ShareOfRepeated(requests, count);
  const double weight = WeightOf(std::move(weights));
  const double limit = LimitOf(causes, part);
  evidence.m_likelihood = weight - limit - requests / count;
  evidence.m_weight = std::min(weight, of_requests);
  evidence.m_excess = evidence.m_weight - limit;
  const bool was_answered = causes.m_answered.contains(part);
  const double chance =
      ChanceOfCut(causes, crashes, was_answered, all_cut, now);
  evidence.m_surprise = -std::log(chance) * evidence.m_weight;
  return evidence;
}

}  // namespace

std::vector<CrashEvidence> FindCandidates(const CrashCauses& causes,
                                          Duration confirmation,
                                          TimePoint now) {
  const double all_cut = CutRequestsOf(causes, now);
  std::vector<CrashEvidence> candidates;
  for (const auto& [part, crashes] : causes.m_suspects) {
    if (!causes.m_blocked.contains(part) && crashes.size() >= kMinRequests)
      candidates.push_back(
          EvidenceAgainst(causes, part, crashes, all_cut, confirmation, now));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const CrashEvidence& a, const CrashEvidence& b) {
              return std::tuple(a.m_likelihood, -a.m_sent) >
                     std::tuple(b.m_likelihood, -b.m_sent);
            });
  return candidates;
}

}  // namespace verbenalead::decide
