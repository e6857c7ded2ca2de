#include "decide/placement/target_selection.h"

#include <algorithm>
#include <cmath>

#include "decide/attempts/retry.h"
#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

/// Range of the random number that is added to each load, so that the choice
/// among almost equally loaded targets is random. Otherwise all entries that
/// received the same reports would choose the same target.
constexpr double kLoadStep = 0.02;
/// Minimum of Placement::m_max_running. The gate of a target may still count a
/// call whose answer has just been sent when the next call arrives, so that 0
/// would cause refusals at an idle target.
constexpr uint32_t kMinMaxRunning = 1;
/// Weight of one call in the mean duration and the mean work of a call.
constexpr double kMeanDecay = 0.01;

bool IsServing(const TargetView& target, TimePoint now) {
  return target.m_report.m_open && !target.m_report.m_leaving &&
         target.m_report.m_capacity > 0 &&
         now - target.m_reported_at <= kMaxReportAge;
}

bool IsUsable(const TargetView& target, TimePoint now) {
  return IsServing(target, now) && !target.m_health.m_ejected &&
         now >= target.m_full_until;
}

/// Whether to send one call to an ejected target, whose ejection has ended, to
/// check whether it has recovered.
bool NeedsProbe(const TargetView& target, TimePoint now) {
  return target.m_health.m_ejected && IsServing(target, now) &&
         now >= target.m_health.m_ejected_until && target.m_in_flight == 0;
}

/// Means over the usable targets.
struct PoolMean {
  double m_other_attempts = 0;
  double m_own = 0;
  double m_recent_work = 0;
  size_t m_count = 0;
  /// Decay of the reported number of other entries' attempts, for each
  /// nanosecond of its age.
  double m_decay_per_ns = 0;
};

PoolMean MeanOf(const TargetSelectionState& state, TimePoint now) {
  PoolMean mean;
  for (const TargetView& target : state.m_targets) {
    if (!IsUsable(target, now))
      continue;
    mean.m_other_attempts += target.m_other_attempts;
    mean.m_own += target.m_in_flight;
    mean.m_recent_work += target.m_recent_work;
    ++mean.m_count;
  }
  const auto count = static_cast<double>(std::max<size_t>(mean.m_count, 1));
  mean.m_other_attempts /= count;
  mean.m_own /= count;
  mean.m_recent_work /= count;
  const double seconds =
      state.m_mean_seconds > 0
          ? state.m_mean_seconds
          : std::chrono::duration<double>(kDefaultLoadDecayTime).count();
  mean.m_decay_per_ns = 1 / (seconds * 1e9);
  return mean;
}

/// Estimated number of attempts that run at `target`: the exact count of this
/// entry's attempts plus the last known count of the others', which moves
/// towards the mean of the pool as it ages. If it moved towards zero instead,
/// every entry would choose the target that has not reported for the longest
/// time.
double RunningNow(const TargetView& target,
                  const PoolMean& mean,
                  TimePoint now) {
  const auto age = static_cast<double>((now - target.m_others_seen_at).count());
  const double weight = 1 / (1 + age * mean.m_decay_per_ns);
  return target.m_in_flight + mean.m_other_attempts +
         (target.m_other_attempts - mean.m_other_attempts) * weight;
}

double LoadOf(const TargetView& target, const PoolMean& mean, TimePoint now) {
  return RunningNow(target, mean, now) / target.m_report.m_capacity;
}

constexpr uint64_t kMixFactor = 0xbf58476d1ce4e5b9u;

uint64_t Mix(uint64_t hash) {
  hash = (hash ^ hash >> 30) * kMixFactor;
  hash = (hash ^ hash >> 27) * 0x94d049bb133111ebu;
  return hash ^ hash >> 31;
}

/// Whether `target` may be chosen for a prefix. A call may always raise the
/// work of a target to the mean plus the call itself: with few calls,
/// kMaxWorkOverMean alone would exclude every target.
bool WithinBounds(const TargetView& target,
                  const PoolMean& mean,
                  double units) {
  return target.m_recent_work + units <=
             std::max(kMaxWorkOverMean * mean.m_recent_work,
                      mean.m_recent_work + units) &&
         target.m_in_flight < mean.m_own + kMaxOwnAttemptsOverMean;
}

Placement MakePlacement(const TargetView& target, const char* reason) {
  const model::TargetReport& report = target.m_report;
  Placement placement;
  placement.m_target = report.m_name;
  placement.m_peer = report.m_peer;
  placement.m_incarnation = report.m_incarnation;
  placement.m_digest = report.m_digest;
  placement.m_version = report.m_version;
  placement.m_reason = reason;
  return placement;
}

/// The target whose cache contains the prefix of the call or, if there is none,
/// should contain it: the first usable target within bounds in the order of the
/// rendezvous hash. All entries use the same hash, so that calls with one
/// prefix reach the same few caches at whichever entry they arrive, without
/// communication between entries. When one of these targets is full, all
/// entries overflow to the same next one, and a popular prefix spreads to as
/// few targets as necessary.
const TargetView* ChooseByPrefix(const TargetSelectionState& state,
                                 const PoolMean& mean,
                                 const model::Call& call,
                                 const std::set<std::string>& tried,
                                 TimePoint now) {
  const double units = WorkUnits(call);
  const auto* holders = FindHolders(state.m_prefixes, call.prefix());
  const TargetView* best = nullptr;
  std::pair<bool, uint64_t> best_rank;
  for (const TargetView& target : state.m_targets) {
    const bool held = HasPrefix(holders, target.m_hash, now);
    const std::pair rank{held, Mix(target.m_hash ^ call.prefix())};
    if (best != nullptr && rank <= best_rank)
      continue;
    if (!IsUsable(target, now) || !WithinBounds(target, mean, units) ||
        tried.contains(target.m_report.m_name))
      continue;
    best = &target;
    best_rank = rank;
  }
  return best;
}

/// The least loaded target; random among almost equally loaded ones.
const TargetView* ChooseByLoad(const TargetSelectionState& state,
                               const PoolMean& mean,
                               const std::set<std::string>& tried,
                               TimePoint now,
                               Random& random) {
  const uint64_t random_bits = Mix(random());
  const TargetView* best = nullptr;
  double best_load = 0;
  for (const TargetView& target : state.m_targets) {
    if (!IsUsable(target, now) || tried.contains(target.m_report.m_name))
      continue;
    // One random number for the call, mixed with the hash of the target's name,
    // replaces a random number for each target.
    const double random_fraction =
        static_cast<double>((random_bits ^ target.m_hash) * kMixFactor >> 32) *
        0x1p-32;
    const double load = LoadOf(target, mean, now) + kLoadStep * random_fraction;
    if (best == nullptr || load < best_load) {
      best = &target;
      best_load = load;
    }
  }
  return best;
}

/// How many calls may already run at the target when `call` arrives. The limit
/// is derived from the mean over the pool, which is less outdated than the
/// report of a single target: it changes only with the load of the whole pool.
uint32_t MaxRunning(const TargetSelectionState& state,
                    const PoolMean& mean,
                    const model::Call& call,
                    const std::set<std::string>& tried,
                    Duration waited) {
  // No other target is left.
  if (tried.size() + 1 >= mean.m_count)
    return UINT32_MAX;
  const auto running =
      std::max(static_cast<uint32_t>(mean.m_own + mean.m_other_attempts),
               kMinMaxRunning);
  const double units = WorkUnits(call);
  const bool is_long = units > kLongCallFactor * state.m_mean_units;
  const double expected = units * SecondsPerUnit(state.m_service);
  const double wait_limit = expected * kMaxWaitShare;
  const bool last_attempt = is_long || tried.size() + 1 >= kMaxAttempts;
  if (std::chrono::duration<double>(waited).count() >= wait_limit &&
      last_attempt)
    return UINT32_MAX;
  if (!is_long)
    return running;
  return std::max(running, kLongCallMargin + kMinMaxRunning) - kLongCallMargin;
}

/// The target to probe with `call`, or nullptr. A probe may be delayed by a
/// slow target or may have to be retried, so calls that are urgent or not
/// idempotent are not used as probes.
const TargetView* ChooseProbeTarget(const TargetSelectionState& state,
                                    const model::Call& call,
                                    const std::set<std::string>& tried,
                                    TimePoint now) {
  if (!call.idempotent() || call.urgency() < model::kDefaultUrgency)
    return nullptr;
  for (const TargetView& target : state.m_targets) {
    if (NeedsProbe(target, now) && !tried.contains(target.m_report.m_name))
      return &target;
  }
  return nullptr;
}

/// The idle target whose ejection ends first, for use when all targets are
/// ejected. The cause is then probably on the side of this entry, such as a
/// failed link; without this choice, no call would run until an ejection ends,
/// which may take kMaxEjection.
const TargetView* ChooseEjected(const TargetSelectionState& state,
                                const std::set<std::string>& tried,
                                TimePoint now) {
  const TargetView* best = nullptr;
  for (const TargetView& target : state.m_targets) {
    const bool idle = target.m_health.m_ejected && target.m_in_flight == 0;
    if (!idle || !IsServing(target, now) ||
        tried.contains(target.m_report.m_name))
      continue;
    if (best == nullptr ||
        target.m_health.m_ejected_until < best->m_health.m_ejected_until)
      best = &target;
  }
  return best;
}

/// Whether any serving target is not ejected.
bool AnyInRotation(const TargetSelectionState& state, TimePoint now) {
  return std::any_of(state.m_targets.begin(), state.m_targets.end(),
                     [&](const TargetView& target) {
                       return IsServing(target, now) &&
                              !target.m_health.m_ejected;
                     });
}

void SetObservedLoad(TargetView& target, uint32_t running, TimePoint now) {
  target.m_other_attempts =
      running > target.m_in_flight ? running - target.m_in_flight : 0;
  target.m_others_seen_at = now;
}

TargetView* Find(TargetSelectionState& state, const std::string& name) {
  auto found = state.m_index.find(name);
  return found == state.m_index.end() ? nullptr
                                      : &state.m_targets[found->second];
}

void HalveWork(TargetSelectionState& state, TimePoint now) {
  if (now - state.m_work_halved_at < kWorkHalvingInterval)
    return;
  state.m_work_halved_at = now;
  for (TargetView& target : state.m_targets)
    target.m_recent_work /= 2;
}

}  // namespace

void ApplyReport(TargetSelectionState& state,
                 const model::TargetReport& report,
                 TimePoint now) {
  auto [at, added] =
      state.m_index.try_emplace(report.m_name, state.m_targets.size());
  if (added) {
    TargetView view;
    view.m_hash = MixHash(report.m_name, 0);
    state.m_targets.push_back(std::move(view));
  }
  TargetView& target = state.m_targets[at->second];
  if (report.m_incarnation < target.m_report.m_incarnation)
    return;
  const bool same = report.m_incarnation == target.m_report.m_incarnation;
  const bool leaving = same && target.m_report.m_leaving;
  target.m_report = report;
  target.m_report.m_leaving |= leaving;
  target.m_reported_at = now;
  SetObservedLoad(target, report.m_running, now);
  if (!same) {
    RemoveTargetPrefixes(state.m_prefixes, target.m_hash);
    target.m_health = {};
    target.m_full_until = {};
  }
}

void RemoveTarget(TargetSelectionState& state, const std::string& name) {
  auto found = state.m_index.find(name);
  if (found == state.m_index.end())
    return;
  const size_t removed = found->second;
  state.m_index.erase(found);
  if (removed + 1 != state.m_targets.size()) {
    state.m_targets[removed] = std::move(state.m_targets.back());
    state.m_index[state.m_targets[removed].m_report.m_name] = removed;
  }
  state.m_targets.pop_back();
}

std::optional<Placement> ChooseTarget(const TargetSelectionState& state,
                                      const model::Call& call,
                                      const std::set<std::string>& tried,
                                      Duration waited,
                                      TimePoint now,
                                      Random& random) {
  if (const TargetView* target = ChooseProbeTarget(state, call, tried, now))
    return MakePlacement(*target, "probe");
  const PoolMean mean = MeanOf(state, now);
  if (call.prefix() != 0) {
    if (const TargetView* target =
            ChooseByPrefix(state, mean, call, tried, now))
      return MakePlacement(*target, "prefix");
  }
  if (const TargetView* target =
          ChooseByLoad(state, mean, tried, now, random)) {
    Placement placement = MakePlacement(*target, "least_loaded");
    placement.m_max_running = MaxRunning(state, mean, call, tried, waited);
    return placement;
  }
  if (!AnyInRotation(state, now)) {
    if (const TargetView* target = ChooseEjected(state, tried, now))
      return MakePlacement(*target, "all_ejected");
  }
  return std::nullopt;
}

void AttemptSent(TargetSelectionState& state,
                 const std::string& name,
                 const model::Call& call,
                 TimePoint now) {
  HalveWork(state, now);
  TargetView* target = Find(state, name);
  if (target == nullptr)
    return;
  ++target->m_in_flight;
  target->m_recent_work += WorkUnits(call);
  if (call.prefix() != 0)
    RecordPrefix(state.m_prefixes, call.prefix(), target->m_hash, now);
}

void AttemptEnded(TargetSelectionState& state,
                  const std::string& name,
                  const model::Call& call,
                  TargetFeedback feedback,
                  Duration elapsed,
                  TimePoint now) {
  TargetView* target = Find(state, name);
  if (target == nullptr)
    return;
  if (target->m_in_flight > 0)
    --target->m_in_flight;
  const double units = WorkUnits(call);
  if (feedback == TargetFeedback::kFull ||
      feedback == TargetFeedback::kAboveMaxRunning ||
      feedback == TargetFeedback::kRefused) {
    if (feedback != TargetFeedback::kAboveMaxRunning)
      target->m_full_until = now + kFullTargetPause;
    target->m_recent_work = std::max(0.0, target->m_recent_work - units);
    return;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double expected_seconds = SecondsPerUnit(state.m_service) * units;
  const bool good = feedback == TargetFeedback::kGood;
  const double slowness =
      good && expected_seconds > 0 ? seconds / expected_seconds : 0;
  const HealthSample answer = good ? HealthSample::kGood
                              : feedback == TargetFeedback::kFailed
                                  ? HealthSample::kFailed
                                  : HealthSample::kBroken;
  RecordAttempt(target->m_health, answer, slowness, now);
  if (!good)
    return;
  Add(state.m_service, units, elapsed);
  if (state.m_mean_units == 0) {
    state.m_mean_seconds = seconds;
    state.m_mean_units = units;
  }
  state.m_mean_seconds += kMeanDecay * (seconds - state.m_mean_seconds);
  state.m_mean_units += kMeanDecay * (units - state.m_mean_units);
}

void LoadObserved(TargetSelectionState& state,
                  const std::string& name,
                  uint32_t running,
                  TimePoint now) {
  if (TargetView* target = Find(state, name))
    SetObservedLoad(*target, running, now);
}

void PrefixCached(TargetSelectionState& state,
                  const std::string& name,
                  uint64_t prefix,
                  TimePoint when) {
  if (TargetView* target = Find(state, name))
    RecordPrefix(state.m_prefixes, prefix, target->m_hash, when);
}

void PrefixEvicted(TargetSelectionState& state,
                   const std::string& name,
                   uint64_t prefix,
                   TimePoint when) {
  if (TargetView* target = Find(state, name))
    RecordEviction(state.m_prefixes, prefix, target->m_hash, when);
}

uint32_t UsableCapacity(const TargetSelectionState& state, TimePoint now) {
  uint32_t capacity = 0;
  uint32_t ejected = 0;
  for (const TargetView& target : state.m_targets) {
    if (!IsServing(target, now))
      continue;
    if (target.m_health.m_ejected)
      ++ejected;
    else
      capacity += target.m_report.m_capacity;
  }
  // While all targets are ejected, each can run one probe; with a capacity of
  // 0, admission would refuse all calls, and no target could be reinstated.
  return capacity > 0 ? capacity : ejected;
}

}  // namespace verbenalead::decide
