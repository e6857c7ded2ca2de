#include "decide/placement/replica_pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/stable_hash.h"
#include "decide/limits/rate_gate.h"
#include "decide/placement/placement_cost.h"

namespace verbenalead::decide {
namespace {

/// Weight of the latest call in the moving average of failures.
constexpr double kFailureWeight = 0.1;
/// Upper bound of the random part of a replica's cost. It is below the cost of
/// one call, 1/16, so it only decides between replicas with equal load. Without
/// it, entries that see the same loads would all choose the same replica.
constexpr double kTieBreakNoise = 0.06;

constexpr Duration kMinBackoff = 200ms;
constexpr Duration kMaxBackoff = 3s;
constexpr uint32_t kMaxDoublings = 4;
/// A replica whose slot was denied, or that rejected a call, is full of calls
/// that have not been reported to this entry yet. Without this pause an entry
/// with an outdated view would send another slot request after each round trip.
constexpr Duration kFullBackoff = 30ms;
/// Doublings of kFullBackoff for a replica that goes on rejecting calls, so
/// that it gets two or three calls per second from each entry.
constexpr uint32_t kMaxRejectionDoublings = 4;
/// Backoff if the address belongs to another replica or the weights changed: an
/// update about either arrives within this time.
constexpr Duration kWrongHostBackoff = 500ms;

/// Time after a rest within which this entry returns to all slots of a replica,
/// at an even rate. Calls that have piled up meanwhile, and those of all
/// entries that were told at the same time, would otherwise be its next
/// overload.
constexpr Duration kReturnTime = 1s;
/// A rest is extended by a random part of it, up to kMaxRestJitter, so that
/// entries that were told together don't return together.
constexpr double kRestJitter = 0.25;
constexpr Duration kMaxRestJitter = 1s;

/// Time for which the statements of a replica that isn't listed any more are
/// kept. A row that expired while the store was away returns within seconds; an
/// outage lasts for minutes at most.
constexpr Duration kStatementLifetime = std::chrono::minutes(10);
constexpr size_t kMaxUnlisted = 1024;

/// Time for which a replica is kept for suspected calls after the last one.
constexpr Duration kIsolationTime = 3s;

/// Run time of a call whose caller gave no estimate.
constexpr Duration kAssumedRunTime = 500ms;

/// The free slots of a cold replica that count as capacity are those that its
/// calls may take in this time. A call that waits longer is refused or late.
constexpr double kColdCapacitySeconds = 0.1;

bool IsEvacuated(const ReplicaPool& pool, const ReplicaState& state) {
  return pool.m_evacuated_data_centers.contains(state.m_replica.m_data_center);
}

/// Whether the replica is in a data centre that `call` may use, and the call
/// isn't isolated at another one.
bool IsAllowed(const ReplicaState& state, const PoolCall& call) {
  if (call.m_only_replica && *call.m_only_replica != state.m_replica.m_id)
    return false;
  return !call.m_data_centers ||
         call.m_data_centers->contains(state.m_replica.m_data_center);
}

/// Whether two calls may wait for the same replica.
bool Compete(const PoolCall& a, const PoolCall& b) {
  if (!a.m_data_centers || !b.m_data_centers)
    return true;
  return std::any_of(a.m_data_centers->begin(), a.m_data_centers->end(),
                     [&](const std::string& data_center) {
                       return b.m_data_centers->contains(data_center);
                     });
}

/// Whether the replica may get calls of this entry at some time, by its own
/// statements and the operator's.
bool MayWantCalls(const ReplicaPool& pool, const ReplicaState& state) {
  return !state.m_known.m_leaving && !IsEvacuated(pool, state);
}

/// Whether the replica may get calls of this entry now: MayWantCalls() holds,
/// and the replica isn't at rest.
bool WantsCalls(const ReplicaPool& pool,
                const ReplicaState& state,
                TimePoint now) {
  return MayWantCalls(pool, state) && state.m_known.m_rest_until <= now;
}

/// Whether a replica whose rest is over may get one more call now.
bool MayReturn(const ReplicaState& state, TimePoint now) {
  const TimePoint end = state.m_known.m_rest_until;
  if (end == TimePoint() || now >= end + kReturnTime)
    return true;
  const auto share = std::chrono::duration<double>(now - end) / kReturnTime;
  return state.m_calls_since_rest < 1 + share * state.m_replica.m_slots;
}

bool Usable(const ReplicaPool& pool, const ReplicaState& state, TimePoint now) {
  return WantsCalls(pool, state, now) && state.m_loading_until <= now &&
         state.m_backoff_until <= now &&
         state.m_weights >= pool.m_required_weights;
}

/// Whether the replica has a rate limit and no token for this entry now.
bool IsHeldBack(const ReplicaPool& pool,
                const ReplicaState& state,
                TimePoint now) {
  return state.m_rate_held_until > now && LimitOf(pool, state, now).m_rate;
}

/// Free slots of a usable replica that calls may take now.
uint32_t AvailableSlots(const ReplicaPool& pool,
                        const ReplicaState& state,
                        TimePoint now) {
  const uint32_t slots = state.m_replica.m_slots;
  const uint32_t free = slots - std::min(CallsAt(state), slots);
  if (IsHeldBack(pool, state, now))
    return 0;
  if (!IsLimitedCold(pool, state, now))
    return free;
  const double calls =
      LimitOf(pool, state, now).m_rate.value_or(0) * kColdCapacitySeconds;
  return std::min(free, static_cast<uint32_t>(std::ceil(calls)));
}

/// Time of the replica that the call takes, as all its slots share its steps.
Duration CostOf(const ReplicaState& state, const PoolCall& call) {
  const Duration run = call.m_expected_run_time > Duration()
                           ? call.m_expected_run_time
                           : kAssumedRunTime;
  return run / std::max<uint32_t>(1, state.m_replica.m_slots);
}

/// The cost and the id of a replica.
using Candidate = std::pair<double, std::string>;

/// The ids of the `count` candidates of least cost, the cheapest first.
std::vector<std::string> TakeCheapest(std::vector<Candidate>& candidates,
                                      size_t count) {
  count = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end());
  std::vector<std::string> cheapest;
  for (size_t i = 0; i < count; ++i)
    cheapest.push_back(candidates[i].second);
  return cheapest;
}

void BackOff(ReplicaState& state, TimePoint now) {
  const uint32_t doublings =
      std::min(kMaxDoublings, state.m_consecutive_failures - 1);
  state.m_backoff_until =
      now + std::min(kMinBackoff * (1 << doublings), kMaxBackoff);
}

/// Load: a replica rejects all calls at once for seconds, without asking for a
/// rest. Harm: it seems idle, so it draws most calls, which use up the retries
/// that are allowed and are then refused although other replicas have room. So
/// each rejection after a pause doubles the pause, until it runs a call again.
void BackOffAfterRejection(ReplicaState& state, TimePoint now) {
  // Calls that were under way together are one sign, not several.
  if (now < state.m_backoff_until)
    return;
  state.m_backoff_until = now + kFullBackoff * (1 << state.m_rejections);
  state.m_rejections = std::min(kMaxRejectionDoublings, state.m_rejections + 1);
}

void CountOutcome(ReplicaState& state, bool failed) {
  state.m_failure_rate +=
      kFailureWeight * ((failed ? 1 : 0) - state.m_failure_rate);
}

uint64_t NewestWeights(const model::Replica& replica) {
  uint64_t newest = 0;
  for (const auto& [model, version] : replica.m_weights)
    newest = std::max(newest, version);
  return newest;
}

/// Records what the row says of how long the replica is cold.
void UpdateCold(const ReplicaPool& pool,
                ReplicaState& state,
                bool has_started,
                TimePoint now) {
  if (!IsValidColdRate(pool.m_cold_limits.m_rate))
    return;
  const model::Replica& replica = state.m_replica;
  const auto& left = replica.m_cold_left;
  ColdState& cold = state.m_known.m_cold;
  if (left && IsValidColdTime(*left)) {
    MergeCold(cold, ColdByRow(*left, replica.m_revision, now), now);
  } else if (has_started && pool.m_cold_start > Duration()) {
    MergeCold(cold, PresumedCold(pool.m_cold_start, replica.m_revision, now),
              now);
  }
}

void Update(const ReplicaPool& pool,
            ReplicaState& state,
            const model::Replica& replica,
            bool has_started,
            TimePoint now) {
  if (!SameIncarnation(state.m_replica, replica)) {
    // The new incarnation has none of the earlier state. The counts of this
    // entry's calls are kept, because each call is released when its attempt
    // ends.
    const uint32_t in_flight = state.m_in_flight;
    const uint64_t unread = state.m_unread_tokens;
    const uint32_t asked = state.m_open_slot_requests;
    const uint64_t requested_unread = state.m_requested_unread_tokens;
    state = ReplicaState();
    state.m_in_flight = in_flight;
    state.m_unread_tokens = unread;
    state.m_open_slot_requests = asked;
    state.m_requested_unread_tokens = requested_unread;
    state.m_weights = NewestWeights(replica);
    has_started = true;
  }
  state.m_replica = replica;
  UpdateCold(pool, state, has_started, now);
  state.m_known.m_leaving |= replica.m_leaving;
  state.m_weights = std::max(state.m_weights, NewestWeights(replica));
  state.m_keep_until = TimePoint();
}

bool HasStatements(const KnownStatements& known, TimePoint now) {
  return known.m_leaving || known.m_rate_limit.m_rate ||
         known.m_rest_until > now || IsCold(known.m_cold, now);
}

/// Returns whether this incarnation of the replica was listed before.
bool RestoreStatements(ReplicaPool& pool, ReplicaState& state) {
  const auto found = pool.m_unlisted.find(state.m_replica.m_id);
  if (found == pool.m_unlisted.end())
    return false;
  const bool same = SameIncarnation(found->second.m_replica, state.m_replica);
  if (same)
    state.m_known = found->second.m_known;
  pool.m_unlisted.erase(found);
  return same;
}

void KeepStatements(ReplicaPool& pool,
                    const ReplicaState& state,
                    TimePoint now) {
  // Where replicas are presumed cold after a start, one whose row returns must
  // not be taken for one that has started.
  if (!HasStatements(state.m_known, now) && pool.m_cold_start == Duration())
    return;
  pool.m_unlisted[state.m_replica.m_id] = {state.m_replica, state.m_known,
                                           now + kStatementLifetime};
  if (pool.m_unlisted.size() <= kMaxUnlisted)
    return;
  pool.m_unlisted.erase(
      std::min_element(pool.m_unlisted.begin(), pool.m_unlisted.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.m_forget_at < b.second.m_forget_at;
                       }));
}

/// Removes the replicas that `is_gone` selects.
template <typename IsGone>
void RemoveReplicas(ReplicaPool& pool, IsGone is_gone, TimePoint now) {
  std::erase_if(pool.m_replicas, [&](const auto& entry) {
    const bool gone = is_gone(entry.first, entry.second);
    if (gone)
      KeepStatements(pool, entry.second, now);
    return gone;
  });
  std::erase_if(pool.m_unlisted, [now](const auto& entry) {
    return entry.second.m_forget_at <= now;
  });
}

/// What orders waiting calls before their arrival, smallest first: whether they
/// are late, their rank, and the virtual time of their organisation.
using WaitingKey = std::tuple<bool, int, double>;
using WaitingCall = std::pair<WaitingKey, std::list<PoolCall>::iterator>;

WaitingKey KeyOf(const ReplicaPool& pool, const PoolCall& call) {
  const int rank = call.m_rank.value_or(0);
  return {!call.m_can_be_on_time, OrderedRank(pool.m_rank_floor, rank),
          VirtualTime(pool.m_shares, rank, call.m_organisation)};
}

template <typename Iterator>
void SortWaiting(Iterator begin, Iterator end) {
  std::stable_sort(begin, end, [](const WaitingCall& a, const WaitingCall& b) {
    return a.first < b.first;
  });
}

std::vector<WaitingCall> OrderOfWaiting(ReplicaPool& pool) {
  std::vector<WaitingCall> order;
  for (auto call = pool.m_waiting.begin(); call != pool.m_waiting.end(); ++call)
    order.emplace_back(KeyOf(pool, *call), call);
  SortWaiting(order.begin(), order.end());
  return order;
}

}  // namespace

void SetReplicas(ReplicaPool& pool,
                 const std::vector<model::Replica>& replicas,
                 TimePoint keep_missing_until,
                 TimePoint now) {
  std::set<std::string> present;
  for (const model::Replica& replica : replicas) {
    present.insert(replica.m_id);
    ReplicaState& state = pool.m_replicas[replica.m_id];
    bool has_started = false;
    if (state.m_replica.m_id.empty()) {
      state.m_replica = replica;
      state.m_weights = NewestWeights(replica);
      has_started = !RestoreStatements(pool, state) && pool.m_listed;
    }
    Update(pool, state, replica, has_started, now);
  }
  pool.m_listed |= !replicas.empty();
  for (auto& [id, state] : pool.m_replicas) {
    if (!present.contains(id) && state.m_keep_until == TimePoint())
      state.m_keep_until = keep_missing_until;
  }
  RemoveReplicas(
      pool,
      [&](const std::string& id, const ReplicaState& state) {
        return !present.contains(id) && state.m_keep_until <= now;
      },
      now);
}

void RemoveExpiredReplicas(ReplicaPool& pool, TimePoint now) {
  RemoveReplicas(
      pool,
      [now](const std::string&, const ReplicaState& state) {
        return state.m_keep_until != TimePoint() && state.m_keep_until <= now;
      },
      now);
}

void SetColdLimits(ReplicaPool& pool,
                   const ColdLimits& limits,
                   Duration cold_start,
                   TimePoint now) {
  pool.m_cold_start = cold_start;
  if (pool.m_cold_limits == limits)
    return;
  pool.m_cold_limits = limits;
  // Rows may have been read before the configuration.
  for (auto& [id, state] : pool.m_replicas)
    UpdateCold(pool, state, false, now);
}

size_t PresumeCold(ReplicaPool& pool,
                   const std::string& data_center,
                   Duration cold_start,
                   model::Revision revision,
                   TimePoint now) {
  if (!IsValidColdRate(pool.m_cold_limits.m_rate))
    return 0;
  size_t count = 0;
  const ColdState presumed = PresumedCold(cold_start, revision, now);
  for (auto& [id, state] : pool.m_replicas) {
    if (state.m_replica.m_data_center == data_center &&
        MergeCold(state.m_known.m_cold, presumed, now))
      ++count;
  }
  return count;
}

GateLimit LimitOf(const ReplicaPool& pool,
                  const ReplicaState& replica,
                  TimePoint now) {
  return EffectiveLimit(replica.m_known.m_rate_limit.m_rate,
                        replica.m_known.m_cold, pool.m_cold_limits, now);
}

bool NoteLeaving(ReplicaState& replica) {
  return !std::exchange(replica.m_known.m_leaving, true);
}

bool NoteRest(ReplicaState& replica,
              Duration rest,
              TimePoint now,
              std::mt19937_64& random) {
  const auto longest_jitter = std::min(
      kMaxRestJitter, std::chrono::duration_cast<Duration>(rest * kRestJitter));
  const Duration jitter(std::uniform_int_distribution<int64_t>(
      0, longest_jitter.count())(random));
  const bool begins = replica.m_known.m_rest_until <= now;
  // Each rest was asked for, so the latest end holds.
  replica.m_known.m_rest_until =
      std::max(replica.m_known.m_rest_until, now + rest + jitter);
  replica.m_calls_since_rest = 0;
  return begins;
}

bool IsUnwanted(const ReplicaPool& pool,
                const std::string& replica,
                TimePoint now) {
  const auto found = pool.m_replicas.find(replica);
  return found != pool.m_replicas.end() &&
         !WantsCalls(pool, found->second, now);
}

TimePoint CallsWantedFrom(const ReplicaPool& pool, const PoolCall& call) {
  if (pool.m_replicas.empty() && !call.m_data_centers)
    return TimePoint();
  TimePoint earliest = TimePoint::max();
  for (const auto& [id, state] : pool.m_replicas) {
    if (MayWantCalls(pool, state) && IsAllowed(state, call))
      earliest = std::min(earliest, state.m_known.m_rest_until);
  }
  return earliest;
}

void Isolate(ReplicaPool& pool, PoolCall& call, uint64_t key, TimePoint now) {
  call.m_only_replica.reset();
  ReplicaState* chosen = nullptr;
  uint64_t highest = 0;
  for (auto& [id, state] : pool.m_replicas) {
    if (!MayWantCalls(pool, state) || !IsAllowed(state, call))
      continue;
    const uint64_t hash = StableHash().Add(std::to_string(key)).Add(id).value();
    if (!chosen || hash > highest) {
      chosen = &state;
      highest = hash;
    }
  }
  if (!chosen)
    return;
  call.m_only_replica = chosen->m_replica.m_id;
  chosen->m_isolates_until = now + kIsolationTime;
}

std::optional<std::string> AcquireSlot(ReplicaPool& pool,
                                       const PoolCall& call,
                                       TimePoint now,
                                       std::mt19937_64& random) {
  std::uniform_real_distribution<double> noise(0, kTieBreakNoise);
  ReplicaState* best = nullptr;
  double best_cost = 0;
  for (auto& [id, state] : pool.m_replicas) {
    if (!Usable(pool, state, now) || !IsAllowed(state, call) ||
        IsHeldBack(pool, state, now) || !MayReturn(state, now) ||
        call.m_attempted_replicas.contains(id) ||
        !HasRoom(state.m_replica.m_slots, ReadingRate(pool, state, now),
                 CallsAt(state),
                 state.m_unread_tokens + state.m_other_entries_unread_tokens) ||
        !CanReadInTime(pool, state, call, now))
      continue;
    const double cost = PlacementCost(pool, state, call, now) + noise(random);
    if (!best || cost < best_cost) {
      best = &state;
      best_cost = cost;
    }
  }
  if (!best)
    return std::nullopt;
  ++best->m_in_flight;
  ++best->m_calls_since_rest;
  best->m_unread_tokens += call.m_prompt_tokens;
  ChargeCall(pool.m_shares, call.m_rank.value_or(0), call.m_organisation,
             CostOf(*best, call));
  return best->m_replica.m_id;
}

std::vector<std::string> ReplicasToWaitAt(const ReplicaPool& pool,
                                          const PoolCall& call,
                                          size_t count,
                                          TimePoint now,
                                          std::mt19937_64& random) {
  std::uniform_real_distribution<double> noise(0, kTieBreakNoise);
  std::vector<Candidate> candidates;
  std::vector<Candidate> held_back;
  for (const auto& [id, state] : pool.m_replicas) {
    if (Usable(pool, state, now) && IsAllowed(state, call) &&
        MayReturn(state, now) && !call.m_attempted_replicas.contains(id)) {
      auto& list = IsHeldBack(pool, state, now) ? held_back : candidates;
      list.emplace_back(PlacementCost(pool, state, call, now) + noise(random),
                        id);
    }
  }
  // A replica without a token seems idle, but a slot of another one usually
  // comes free sooner. So a call waits at one of these only in addition.
  const size_t extra = !candidates.empty() && !held_back.empty() ? 1 : 0;
  if (candidates.empty())
    std::swap(candidates, held_back);
  std::vector<std::string> best = TakeCheapest(candidates, count);
  for (std::string& id : TakeCheapest(held_back, extra))
    best.push_back(std::move(id));
  return best;
}

bool AddGrantedSlot(ReplicaPool& pool,
                    const std::string& replica,
                    const PoolCall& call,
                    TimePoint now) {
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end() || !WantsCalls(pool, found->second, now) ||
      !IsAllowed(found->second, call) || !MayReturn(found->second, now))
    return false;
  ++found->second.m_in_flight;
  ++found->second.m_calls_since_rest;
  found->second.m_unread_tokens += call.m_prompt_tokens;
  return true;
}

void AddWaitingCall(ReplicaPool& pool, PoolCall call) {
  pool.m_waiting.push_back(std::move(call));
}

void RemoveWaitingCall(ReplicaPool& pool, uint64_t ticket) {
  std::erase_if(pool.m_waiting, [ticket](const PoolCall& call) {
    return call.m_ticket == ticket;
  });
}

std::vector<StartedCall> StartWaitingCalls(ReplicaPool& pool,
                                           TimePoint now,
                                           std::mt19937_64& random) {
  std::vector<StartedCall> starts;
  std::vector<WaitingCall> order = OrderOfWaiting(pool);
  for (size_t next = 0; next < order.size(); ++next) {
    const auto call = order[next].second;
    const auto replica = AcquireSlot(pool, *call, now, random);
    if (!replica)
      continue;
    starts.push_back({call->m_ticket, *replica});
    const bool has_share = call->m_organisation.has_value();
    pool.m_waiting.erase(call);
    if (!has_share)
      continue;
    // The organisation has been charged for the call, so the others may precede
    // its next one.
    for (size_t i = next + 1; i < order.size(); ++i)
      order[i].first = KeyOf(pool, *order[i].second);
    SortWaiting(order.begin() + static_cast<std::ptrdiff_t>(next) + 1,
                order.end());
  }
  return starts;
}

void NoteRunTime(ReplicaPool& pool,
                 ReplicaState& replica,
                 Duration run,
                 TimePoint now) {
  AddRun(replica.m_speed.m_run_time, run, now);
  AddRun(pool.m_run_time, run, now);
}

void NotePromptRead(ReplicaPool& pool,
                    const std::string& replica,
                    uint32_t prompt_tokens) {
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end())
    return;
  uint64_t& unread = found->second.m_unread_tokens;
  unread -= std::min<uint64_t>(unread, prompt_tokens);
}

void NoteSlotRequestSent(ReplicaPool& pool,
                         const std::string& replica,
                         uint32_t prompt_tokens) {
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end())
    return;
  ++found->second.m_open_slot_requests;
  found->second.m_requested_unread_tokens += prompt_tokens;
}

void NoteSlotRequestDone(ReplicaPool& pool,
                         const std::string& replica,
                         uint32_t prompt_tokens) {
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end())
    return;
  ReplicaState& state = found->second;
  state.m_open_slot_requests -=
      std::min<uint32_t>(state.m_open_slot_requests, 1);
  state.m_requested_unread_tokens -=
      std::min<uint64_t>(state.m_requested_unread_tokens, prompt_tokens);
}

void ReleaseSlot(ReplicaPool& pool,
                 const std::string& replica,
                 AttemptEnd end,
                 TimePoint now) {
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end())
    return;
  ReplicaState& state = found->second;
  if (state.m_in_flight > 0)
    --state.m_in_flight;
  switch (end) {
    case AttemptEnd::kGood:
      state.m_consecutive_failures = 0;
      state.m_rejections = 0;
      CountOutcome(state, false);
      return;
    case AttemptEnd::kFailed:
      state.m_consecutive_failures = 0;
      CountOutcome(state, true);
      return;
    case AttemptEnd::kNoSlot:
      state.m_backoff_until =
          std::max(state.m_backoff_until, now + kFullBackoff);
      return;
    case AttemptEnd::kNotRun:
      BackOffAfterRejection(state, now);
      return;
    case AttemptEnd::kWrongReplica:
      state.m_backoff_until = now + kWrongHostBackoff;
      return;
    case AttemptEnd::kUnreachable:
    case AttemptEnd::kBroken:
      ++state.m_consecutive_failures;
      CountOutcome(state, true);
      // A single lost answer does not justify leaving the replica's slots
      // empty.
      if (end == AttemptEnd::kUnreachable || state.m_consecutive_failures > 1)
        BackOff(state, now);
      return;
    case AttemptEnd::kAbandoned:
      return;
  }
}

void HoldBack(ReplicaState& replica, Duration hold_off, TimePoint now) {
  replica.m_rate_held_until =
      std::max(replica.m_rate_held_until, now + hold_off);
}

std::optional<StatedWait> WaitForReplica(const ReplicaPool& pool,
                                         const PoolCall& call,
                                         TimePoint now) {
  std::optional<StatedWait> wait;
  bool rests = false;
  for (const auto& [id, state] : pool.m_replicas) {
    if (!MayWantCalls(pool, state) || !IsAllowed(state, call) ||
        state.m_loading_until > now ||
        state.m_weights < pool.m_required_weights)
      continue;
    // A replica without a limit that is in its backoff is full or fails.
    if (!IsHeldBack(pool, state, now) && WantsCalls(pool, state, now))
      return std::nullopt;
    rests |= !WantsCalls(pool, state, now);
    const TimePoint held_until =
        IsHeldBack(pool, state, now) ? state.m_rate_held_until : TimePoint();
    const Duration left =
        std::max(held_until, state.m_known.m_rest_until) - now;
    wait = StatedWait{wait ? std::min(wait->m_left, left) : left, rests};
  }
  return wait;
}

bool MayStartBy(const ReplicaPool& pool,
                const PoolCall& call,
                TimePoint deadline,
                TimePoint now) {
  if (CallsWantedFrom(pool, call) > deadline)
    return false;
  bool has_limits = false;
  bool has_candidate = false;
  double rate = 0;
  for (const auto& [id, state] : pool.m_replicas) {
    if (!MayWantCalls(pool, state) || !IsAllowed(state, call))
      continue;
    const TimePoint usable_at =
        std::max({state.m_loading_until, state.m_backoff_until,
                  state.m_known.m_rest_until});
    // A replica that is cold now may be warm by then.
    const auto limit = LimitOf(pool, state, deadline).m_rate;
    if (!limit && usable_at <= deadline)
      return true;
    has_limits |= limit.has_value();
    if (std::max(usable_at, state.m_rate_held_until) > deadline)
      continue;
    has_candidate = true;
    rate += std::max(kMinRequestRate, limit.value_or(0));
  }
  if (!has_limits || !has_candidate)
    return !has_limits;
  const auto waiting = static_cast<double>(std::count_if(
      pool.m_waiting.begin(), pool.m_waiting.end(),
      [&](const PoolCall& other) { return Compete(call, other); }));
  const double seconds = std::chrono::duration<double>(deadline - now).count();
  return waiting < 1 + rate * seconds;
}

Exclusion ExclusionOf(const ReplicaPool& pool, const PoolCall& call) {
  bool has_allowed = !call.m_data_centers;
  bool has_evacuated = false;
  for (const auto& [id, state] : pool.m_replicas) {
    if (!IsAllowed(state, call))
      continue;
    if (!IsEvacuated(pool, state))
      return Exclusion::kNone;
    has_allowed = true;
    has_evacuated = true;
  }
  if (!has_allowed)
    return Exclusion::kRegions;
  return has_evacuated ? Exclusion::kEvacuation : Exclusion::kNone;
}

bool HasUsableReplica(const ReplicaPool& pool,
                      const PoolCall& call,
                      TimePoint now) {
  return std::any_of(
      pool.m_replicas.begin(), pool.m_replicas.end(), [&](const auto& entry) {
        return IsAllowed(entry.second, call) && Usable(pool, entry.second, now);
      });
}

bool HasUsableReplica(const ReplicaPool& pool, TimePoint now) {
  return HasUsableReplica(pool, PoolCall(), now);
}

PoolLoad LoadOf(const ReplicaPool& pool, TimePoint now) {
  return LoadOf(pool, PoolCall(), now);
}

PoolLoad LoadOf(const ReplicaPool& pool, const PoolCall& call, TimePoint now) {
  PoolLoad load;
  for (const auto& [id, state] : pool.m_replicas) {
    if (!Usable(pool, state, now) || !IsAllowed(state, call))
      continue;
    const uint32_t used = std::min(CallsAt(state), state.m_replica.m_slots);
    load.m_slots += used + AvailableSlots(pool, state, now);
    load.m_used_slots += used;
  }
  return load;
}

}  // namespace verbenalead::decide
