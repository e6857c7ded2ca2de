#include "decide/placement/placement_cost.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Cost of a replica in another data centre, as a share of its slots: calls
/// stay in their own data centre until its replicas are fuller by a quarter.
/// Traffic between data centres is charged, and a batch that is fuller by a
/// quarter makes each token only 1% slower.
constexpr double kRemoteCost = 0.25;
/// Cost of a replica that fails all calls. One that fails half of its calls
/// costs as much as a full replica.
constexpr double kFailureCost = 2;
/// Limit of the unread prompts at a replica, in seconds of reading; above it
/// the replica gets no more calls. Unread prompts delay the first event of each
/// further call. Without the limit, an empty replica, for example one that has
/// just loaded weights, would be filled at once, and the last of its prompts
/// would be read long after its call had to begin.
constexpr double kMaxUnreadSeconds = 0.2;
/// Cost of a replica whose unread prompts reach this limit.
constexpr double kUnreadCost = 0.5;
/// Cost of a replica whose target does not answer. A target whose link is
/// saturated with weight chunks answers late. An entry that relied on its own
/// view would add calls to those of all other entries, and all of them would
/// begin late. With this cost the replica is used once others are fuller by
/// half.
constexpr double kSilentTargetCost = 0.5;
/// Cost of a replica that is about to load weights, for calls that run for
/// kLongCall or longer. The load cuts off calls that are still running. Such a
/// replica gets calls if all others are full, short calls first.
constexpr double kClosingCost = 1;
/// Run time from which a call is charged all of kClosingCost; a shorter call is
/// charged in proportion.
constexpr Duration kLongCall = 1s;
/// Cost of a cold replica: it gets calls where the others are full.
constexpr double kColdCost = 1;
/// Cost of a replica that is kept for calls that are suspected to crash it.
constexpr double kIsolationCost = 1;
/// Cost of a call that waits for a slot at the replica, relative to a running
/// call. Both cost the same: a new call has to wait until a slot has come free
/// for each of them.
constexpr double kWaitingCost = 1;

/// How many times slower than usual the replica is; 1 where speeds don't count.
double SlownessOf(const ReplicaPool& pool,
                  const ReplicaState& state,
                  TimePoint now) {
  return pool.m_by_speed ? Slowness(state.m_speed, pool.m_run_time, now) : 1;
}

uint64_t UnreadTokens(const ReplicaState& state) {
  return state.m_unread_tokens + state.m_other_entries_unread_tokens;
}

/// Time that the replica needs to read its unread prompts, as a share of
/// kMaxUnreadSeconds.
double UnreadShare(const ReplicaPool& pool,
                   const ReplicaState& state,
                   TimePoint now) {
  const double rate = ReadingRate(pool, state, now);
  return rate <= 0 ? 0
                   : static_cast<double>(UnreadTokens(state)) / rate /
                         kMaxUnreadSeconds;
}

/// Cost of the calls at the replica. Where speeds count, it is the time until
/// the replica has done its calls and one more: of two idle replicas the faster
/// one is cheaper, and calls are shared in proportion to speed.
double CallsCost(const ReplicaPool& pool,
                 const ReplicaState& state,
                 TimePoint now) {
  const double calls = CallsAt(state) + kWaitingCost * state.m_queued_calls;
  const double slots = state.m_replica.m_slots;
  return pool.m_by_speed ? (calls + 1) / slots * SlownessOf(pool, state, now)
                         : calls / slots;
}

/// Cost of placing `call` at a replica that may be about to load weights.
double ClosingCost(const ReplicaState& state,
                   const PoolCall& call,
                   TimePoint now) {
  if (state.m_closing_until <= now)
    return 0;
  if (call.m_expected_run_time == Duration())
    return kClosingCost;
  const auto length = static_cast<double>(call.m_expected_run_time.count());
  return kClosingCost *
         std::min(1.0, length / static_cast<double>(kLongCall.count()));
}

}  // namespace

double ReadingRate(const ReplicaPool& pool,
                   const ReplicaState& state,
                   TimePoint now) {
  return pool.m_prefill_rate / SlownessOf(pool, state, now);
}

bool HasRoom(uint32_t slots,
             double reading_rate,
             uint32_t calls,
             uint64_t unread) {
  return calls < slots &&
         (reading_rate <= 0 ||
          static_cast<double>(unread) < reading_rate * kMaxUnreadSeconds);
}

double PlacementCost(const ReplicaPool& pool,
                     const ReplicaState& state,
                     const PoolCall& call,
                     TimePoint now) {
  double cost = CallsCost(pool, state, now) +
                kFailureCost * state.m_failure_rate +
                kUnreadCost * UnreadShare(pool, state, now) +
                ClosingCost(state, call, now);
  if (state.m_replica.m_data_center != pool.m_data_center)
    cost += kRemoteCost;
  if (state.m_unresponsive_until > now)
    cost += kSilentTargetCost;
  if (IsLimitedCold(pool, state, now))
    cost += kColdCost;
  if (state.m_isolates_until > now && !call.m_only_replica)
    cost += kIsolationCost;
  return cost;
}

bool CanReadInTime(const ReplicaPool& pool,
                   const ReplicaState& state,
                   const PoolCall& call,
                   TimePoint now) {
  const double rate = ReadingRate(pool, state, now);
  if (!call.m_can_be_on_time || rate <= 0 ||
      call.m_read_deadline == TimePoint::max())
    return true;
  const auto reading =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(UnreadTokens(state) + call.m_prompt_tokens) /
          rate));
  return now + reading <= call.m_read_deadline;
}

}  // namespace verbenalead::decide
