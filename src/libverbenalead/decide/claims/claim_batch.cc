#include "decide/claims/claim_batch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenalead::decide {
namespace {

using Actions = std::vector<ClaimAction>;
using Kind = ClaimOperation::Kind;

ClaimStage ResultStage(Kind kind) {
  switch (kind) {
    case Kind::kClaim:
      return ClaimStage::kClaimed;
    case Kind::kRecord:
      return ClaimStage::kAnswered;
    case Kind::kRelease:
      return ClaimStage::kReleased;
  }
  return ClaimStage::kClaimed;
}

uint64_t ResultRevision(const ClaimOperation& operation) {
  return ClaimRevision(operation.m_writer, ResultStage(operation.m_kind));
}

ClaimPut PutOf(const ClaimOperation& operation) {
  return {operation.m_key,
          {ResultRevision(operation), operation.m_value},
          operation.m_expected};
}

void Settle(ClaimBatchState& state,
            uint64_t id,
            ClaimEnd end,
            std::string value,
            Actions& actions) {
  auto operation = state.m_pending_operations.extract(id);
  if (operation.mapped().m_unattended)
    return;
  ClaimAction action;
  action.m_kind = ClaimAction::Kind::kReportResult;
  action.m_id = id;
  action.m_end = end;
  action.m_value = std::move(value);
  actions.push_back(std::move(action));
}

/// Prevents a claim whose caller has been answered from taking effect later.
/// Such a claim would hold the key for good, and the caller, who received "not
/// run", could never run the call. A released item is therefore written with
/// the same condition as the claim. If this write comes first, the claim's
/// condition fails; if the claim comes first, it is read back and released.
void FenceOffClaim(ClaimBatchState& state,
                   ClaimOperation operation,
                   TimePoint now) {
  operation.m_kind = Kind::kRelease;
  operation.m_value.clear();
  operation.m_unattended = true;
  operation.m_deadline = now + kFenceOffTimeout;
  Submit(state, std::move(operation));
}

void GiveUp(ClaimBatchState& state,
            uint64_t id,
            TimePoint now,
            Actions& actions) {
  const ClaimOperation operation = state.m_pending_operations.at(id);
  Settle(state, id, ClaimEnd::kUnavailable, "", actions);
  if (operation.m_kind == Kind::kClaim && operation.m_in_doubt)
    FenceOffClaim(state, operation, now);
}

/// Settles queued operations whose deadline has passed and, while the table is
/// treated as unavailable, new claims. Their callers receive "not run" without
/// delay and can retry where the table is available.
void SettleOverdue(ClaimBatchState& state, TimePoint now, Actions& actions) {
  const bool table_down = now < state.m_unavailable_until;
  const auto waiting = std::exchange(state.m_waiting, {});
  for (uint64_t id : waiting) {
    const ClaimOperation& operation = state.m_pending_operations.at(id);
    const bool refused_claim =
        table_down && operation.m_kind == Kind::kClaim && !operation.m_in_doubt;
    if (now >= operation.m_deadline || refused_claim)
      GiveUp(state, id, now, actions);
    else
      state.m_waiting.push_back(id);
  }
  std::erase_if(state.m_reads, [&](const auto& read) {
    if (now < state.m_pending_operations.at(read.second).m_deadline)
      return false;
    GiveUp(state, read.second, now, actions);
    return true;
  });
}

/// Moves as many operations as fit from the queue into a group. A transaction
/// may contain an item only once, so a second operation on the same key remains
/// queued for a later group.
std::vector<uint64_t> TakeGroup(ClaimBatchState& state) {
  std::vector<uint64_t> group;
  std::deque<uint64_t> remaining;
  std::set<std::string> keys;
  size_t bytes = 0;
  for (uint64_t id : state.m_waiting) {
    const ClaimOperation& operation = state.m_pending_operations.at(id);
    const bool full =
        group.size() == kMaxGroupItems ||
        (!group.empty() && bytes + operation.m_value.size() > kMaxGroupBytes);
    if (full || !keys.insert(operation.m_key).second) {
      remaining.push_back(id);
      continue;
    }
    bytes += operation.m_value.size();
    group.push_back(id);
  }
  state.m_waiting = std::move(remaining);
  return group;
}

void StartGroup(ClaimBatchState& state, TimePoint now, Actions& actions) {
  ClaimAction action;
  action.m_kind = ClaimAction::Kind::kTransact;
  action.m_id = ++state.m_last_id;
  std::vector<uint64_t> group = TakeGroup(state);
  for (uint64_t id : group)
    action.m_puts.push_back(PutOf(state.m_pending_operations.at(id)));
  state.m_groups[action.m_id] = std::move(group);
  state.m_next_group = now + state.m_interval;
  actions.push_back(std::move(action));
}

void StartReads(ClaimBatchState& state, TimePoint now, Actions& actions) {
  if (now < state.m_next_reads)
    return;
  for (size_t i = 0; i < kReadsPerInterval; ++i) {
    auto next = state.m_reads.begin();
    if (next == state.m_reads.end() || next->first > now)
      return;
    ClaimAction action;
    action.m_kind = ClaimAction::Kind::kRead;
    action.m_id = next->second;
    action.m_key = state.m_pending_operations.at(next->second).m_key;
    actions.push_back(std::move(action));
    state.m_reads.erase(next);
    state.m_next_reads = now + state.m_interval;
  }
}

void ScheduleTick(const ClaimBatchState& state,
                  TimePoint now,
                  Actions& actions) {
  ClaimAction action;
  action.m_at = TimePoint::max();
  if (!state.m_waiting.empty())
    action.m_at = state.m_next_group;
  if (!state.m_reads.empty()) {
    const TimePoint due =
        std::max(state.m_next_reads, state.m_reads.begin()->first);
    action.m_at = std::min(action.m_at, due);
  }
  if (action.m_at == TimePoint::max())
    return;
  action.m_at = std::max(action.m_at, now + kMinTickDelay);
  actions.push_back(std::move(action));
}

void UpdateTableHealth(ClaimBatchState& state,
                       GroupResult result,
                       TimePoint now) {
  const bool answered =
      result == GroupResult::kCommitted || result == GroupResult::kConflict;
  state.m_failures = answered ? 0 : state.m_failures + 1;
  if (answered)
    state.m_unavailable_until = {};
  else if (state.m_failures >= kMaxConsecutiveFailures)
    state.m_unavailable_until = now + kTableUnavailableFor;
}

void AppendTick(ClaimBatchState& state, TimePoint now, Actions& actions) {
  for (ClaimAction& action : Tick(state, now))
    actions.push_back(std::move(action));
}

}  // namespace

Duration GroupInterval(size_t entries) {
  return std::max<size_t>(entries, 1) * Duration(1s) / kGroupsPerSecond;
}

uint64_t Submit(ClaimBatchState& state, ClaimOperation operation) {
  const uint64_t id = ++state.m_last_id;
  state.m_pending_operations[id] = std::move(operation);
  state.m_waiting.push_back(id);
  return id;
}

std::vector<ClaimAction> Tick(ClaimBatchState& state, TimePoint now) {
  Actions actions;
  SettleOverdue(state, now, actions);
  StartReads(state, now, actions);
  if (!state.m_waiting.empty() && now >= state.m_next_group &&
      state.m_groups.size() < kMaxGroupsInFlight)
    StartGroup(state, now, actions);
  ScheduleTick(state, now, actions);
  return actions;
}

std::vector<ClaimAction> GroupEnded(ClaimBatchState& state,
                                    uint64_t group,
                                    GroupResult result,
                                    TimePoint now) {
  Actions actions;
  auto ended = state.m_groups.extract(group);
  if (ended.empty())
    return actions;
  UpdateTableHealth(state, result, now);
  for (uint64_t id : ended.mapped()) {
    if (result == GroupResult::kCommitted) {
      Settle(state, id, ClaimEnd::kDone, "", actions);
    } else if (result == GroupResult::kNotSent) {
      state.m_waiting.push_back(id);
    } else {
      // For a conflict, the table service reports only that some condition
      // failed; for a lost answer, the result is unknown. Each operation's key
      // is therefore read back and the writer compared, so that one claim of a
      // key that is already held doesn't fail the other operations of its
      // group.
      state.m_pending_operations.at(id).m_in_doubt |=
          result == GroupResult::kLost;
      state.m_reads.emplace(now, id);
    }
  }
  AppendTick(state, now, actions);
  return actions;
}

std::vector<ClaimAction> ReadEnded(ClaimBatchState& state,
                                   uint64_t id,
                                   const std::optional<ClaimItem>& item,
                                   TimePoint now) {
  Actions actions;
  auto found = state.m_pending_operations.find(id);
  if (found == state.m_pending_operations.end())
    return actions;
  ClaimOperation& operation = found->second;
  const uint64_t revision = item ? item->m_revision : 0;
  const uint64_t claimed =
      ClaimRevision(operation.m_writer, ClaimStage::kClaimed);
  const bool is_claim = operation.m_kind == Kind::kClaim;
  if (revision == ResultRevision(operation)) {
    Settle(state, id, ClaimEnd::kDone, "", actions);
  } else if (revision == operation.m_expected ||
             (!is_claim && revision == claimed)) {
    operation.m_expected = revision;
    state.m_waiting.push_back(id);
  } else if (!is_claim) {
    // If the key has passed to another writer, the release has taken effect. A
    // record doesn't reach this branch, because no other writer ends this
    // entry's claim.
    const bool released = operation.m_kind == Kind::kRelease;
    Settle(state, id, released ? ClaimEnd::kDone : ClaimEnd::kUnavailable, "",
           actions);
  } else if (StageOf(revision) == ClaimStage::kReleased) {
    // A revision is never reused, so an earlier write of this operation, which
    // was conditional on the previous revision, can't take effect any more.
    operation.m_expected = revision;
    operation.m_in_doubt = false;
    state.m_waiting.push_back(id);
  } else {
    const bool answered = StageOf(revision) == ClaimStage::kAnswered;
    Settle(state, id, answered ? ClaimEnd::kAnswered : ClaimEnd::kHeld,
           item->m_value, actions);
  }
  AppendTick(state, now, actions);
  return actions;
}

std::vector<ClaimAction> ReadFailed(ClaimBatchState& state,
                                    uint64_t id,
                                    TimePoint now) {
  Actions actions;
  auto found = state.m_pending_operations.find(id);
  if (found == state.m_pending_operations.end())
    return actions;
  if (now >= found->second.m_deadline)
    GiveUp(state, id, now, actions);
  else
    state.m_reads.emplace(now + kReadRetryDelay, id);
  AppendTick(state, now, actions);
  return actions;
}

}  // namespace verbenalead::decide
