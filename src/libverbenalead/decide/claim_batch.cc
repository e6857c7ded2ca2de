#include "decide/claim_batch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenalead::decide {
namespace {

using Actions = std::vector<ClaimAction>;
using Kind = ClaimWork::Kind;

ClaimStage TargetStage(Kind kind) {
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

uint64_t TargetRevision(const ClaimWork& work) {
  return ClaimRevision(work.m_writer, TargetStage(work.m_kind));
}

ClaimPut PutOf(const ClaimWork& work) {
  return {work.m_key, {TargetRevision(work), work.m_value}, work.m_expected};
}

void Settle(ClaimBatchState& state,
            uint64_t id,
            ClaimEnd end,
            std::string value,
            Actions& actions) {
  auto work = state.m_works.extract(id);
  if (work.mapped().m_silent)
    return;
  ClaimAction action;
  action.m_kind = ClaimAction::Kind::kSettle;
  action.m_id = id;
  action.m_end = end;
  action.m_value = std::move(value);
  actions.push_back(std::move(action));
}

/// A claim that nobody waits for any longer may still take effect, and would
/// then hold the key for good: its caller, told "not run", could never run it.
/// So a released item is put where the claim would go. Whichever of the two
/// comes first, the other's condition fails; the claim, if it won, is released.
void Fence(ClaimBatchState& state, ClaimWork work, TimePoint now) {
  work.m_kind = Kind::kRelease;
  work.m_value.clear();
  work.m_silent = true;
  work.m_deadline = now + kFenceFor;
  Submit(state, std::move(work));
}

void GiveUp(ClaimBatchState& state,
            uint64_t id,
            TimePoint now,
            Actions& actions) {
  const ClaimWork work = state.m_works.at(id);
  Settle(state, id, ClaimEnd::kUnavailable, "", actions);
  if (work.m_kind == Kind::kClaim && work.m_in_doubt)
    Fence(state, work, now);
}

/// Settles waiting works whose time is over, and, while the table is down, new
/// claims: their callers hear "not run" now, and can go where the table works.
void DropOverdue(ClaimBatchState& state, TimePoint now, Actions& actions) {
  const bool down = now < state.m_down_until;
  const auto waiting = std::exchange(state.m_waiting, {});
  for (uint64_t id : waiting) {
    const ClaimWork& work = state.m_works.at(id);
    const bool hopeless =
        down && work.m_kind == Kind::kClaim && !work.m_in_doubt;
    if (now >= work.m_deadline || hopeless)
      GiveUp(state, id, now, actions);
    else
      state.m_waiting.push_back(id);
  }
  std::erase_if(state.m_reads, [&](const auto& read) {
    if (now < state.m_works.at(read.second).m_deadline)
      return false;
    GiveUp(state, read.second, now, actions);
    return true;
  });
}

/// Moves what fits from the queue into a group. A transaction may name an item
/// only once, so a second work on the same key stays for the next group.
std::vector<uint64_t> TakeGroup(ClaimBatchState& state) {
  std::vector<uint64_t> group;
  std::deque<uint64_t> left;
  std::set<std::string> keys;
  size_t bytes = 0;
  for (uint64_t id : state.m_waiting) {
    const ClaimWork& work = state.m_works.at(id);
    const bool full =
        group.size() == kMaxGroupItems ||
        (!group.empty() && bytes + work.m_value.size() > kMaxGroupBytes);
    if (full || !keys.insert(work.m_key).second) {
      left.push_back(id);
      continue;
    }
    bytes += work.m_value.size();
    group.push_back(id);
  }
  state.m_waiting = std::move(left);
  return group;
}

void StartGroup(ClaimBatchState& state, TimePoint now, Actions& actions) {
  ClaimAction action;
  action.m_kind = ClaimAction::Kind::kTransact;
  action.m_id = ++state.m_last_id;
  std::vector<uint64_t> group = TakeGroup(state);
  for (uint64_t id : group)
    action.m_puts.push_back(PutOf(state.m_works.at(id)));
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
    action.m_key = state.m_works.at(next->second).m_key;
    actions.push_back(std::move(action));
    state.m_reads.erase(next);
    state.m_next_reads = now + state.m_interval;
  }
}

void AskToWake(const ClaimBatchState& state, TimePoint now, Actions& actions) {
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
  action.m_at = std::max(action.m_at, now + kLeastWake);
  actions.push_back(std::move(action));
}

void CountFailure(ClaimBatchState& state, GroupResult result, TimePoint now) {
  const bool answered =
      result == GroupResult::kCommitted || result == GroupResult::kConflict;
  state.m_failures = answered ? 0 : state.m_failures + 1;
  if (answered)
    state.m_down_until = {};
  else if (state.m_failures >= kFailuresUntilDown)
    state.m_down_until = now + kDownFor;
}

void Then(ClaimBatchState& state, TimePoint now, Actions& actions) {
  for (ClaimAction& action : Tick(state, now))
    actions.push_back(std::move(action));
}

}  // namespace

Duration GroupInterval(size_t entries) {
  return std::max<size_t>(entries, 1) * Duration(1s) / kGroupsPerSecond;
}

uint64_t Submit(ClaimBatchState& state, ClaimWork work) {
  const uint64_t id = ++state.m_last_id;
  state.m_works[id] = std::move(work);
  state.m_waiting.push_back(id);
  return id;
}

std::vector<ClaimAction> Tick(ClaimBatchState& state, TimePoint now) {
  Actions actions;
  DropOverdue(state, now, actions);
  StartReads(state, now, actions);
  if (!state.m_waiting.empty() && now >= state.m_next_group &&
      state.m_groups.size() < kMaxGroupsInFlight)
    StartGroup(state, now, actions);
  AskToWake(state, now, actions);
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
  CountFailure(state, result, now);
  for (uint64_t id : ended.mapped()) {
    if (result == GroupResult::kCommitted) {
      Settle(state, id, ClaimEnd::kDone, "", actions);
    } else if (result == GroupResult::kNotSent) {
      state.m_waiting.push_back(id);
    } else {
      // Of a conflict the service says only that one condition failed; of a
      // lost answer nothing is known. Reading back by writer settles each work
      // by itself, so that one repeated call can't fail its group.
      state.m_works.at(id).m_in_doubt |= result == GroupResult::kLost;
      state.m_reads.emplace(now, id);
    }
  }
  Then(state, now, actions);
  return actions;
}

std::vector<ClaimAction> ReadEnded(ClaimBatchState& state,
                                   uint64_t id,
                                   const std::optional<ClaimItem>& item,
                                   TimePoint now) {
  Actions actions;
  auto found = state.m_works.find(id);
  if (found == state.m_works.end())
    return actions;
  ClaimWork& work = found->second;
  const uint64_t revision = item ? item->m_revision : 0;
  const uint64_t claimed = ClaimRevision(work.m_writer, ClaimStage::kClaimed);
  const bool is_claim = work.m_kind == Kind::kClaim;
  if (revision == TargetRevision(work)) {
    Settle(state, id, ClaimEnd::kDone, "", actions);
  } else if (revision == work.m_expected ||
             (!is_claim && revision == claimed)) {
    work.m_expected = revision;
    state.m_waiting.push_back(id);
  } else if (!is_claim) {
    // A release whose key has gone on to another writer has done its work. A
    // record can't come here: nobody else ends our claim.
    const bool released = work.m_kind == Kind::kRelease;
    Settle(state, id, released ? ClaimEnd::kDone : ClaimEnd::kUnavailable, "",
           actions);
  } else if (StageOf(revision) == ClaimStage::kReleased) {
    // The revision that an earlier write of ours waited for is gone for good,
    // so that write can't take effect any more.
    work.m_expected = revision;
    work.m_in_doubt = false;
    state.m_waiting.push_back(id);
  } else {
    const bool answered = StageOf(revision) == ClaimStage::kAnswered;
    Settle(state, id, answered ? ClaimEnd::kAnswered : ClaimEnd::kHeld,
           item->m_value, actions);
  }
  Then(state, now, actions);
  return actions;
}

std::vector<ClaimAction> ReadFailed(ClaimBatchState& state,
                                    uint64_t id,
                                    TimePoint now) {
  Actions actions;
  auto found = state.m_works.find(id);
  if (found == state.m_works.end())
    return actions;
  if (now >= found->second.m_deadline)
    GiveUp(state, id, now, actions);
  else
    state.m_reads.emplace(now + kReadAgainAfter, id);
  Then(state, now, actions);
  return actions;
}

}  // namespace verbenalead::decide
