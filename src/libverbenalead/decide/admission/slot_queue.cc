#include "decide/admission/slot_queue.h"

#include <algorithm>
#include <map>

#include "decide/admission/early_refusal.h"
#include "decide/admission/slot_order.h"
#include "decide/placement/placement_cost.h"

namespace verbenalead::decide {
namespace {

/// Limit of queued requests, several times what can be granted in time.
constexpr size_t kMaxQueuedRequests = 256;

/// A request that is withdrawn this long before the end of its time counts as
/// unserved: its entry ended the wait, and the two clocks differ by the delay
/// of the messages.
constexpr Duration kWithdrawalMargin = 20ms;

/// Whether all on-time calls that were granted a slot can still begin in time
/// if another prompt is read until `read_at`. An engine reads all prompts that
/// arrive between two passes before the next pass writes, so a long prompt
/// delays every call that arrived with it. Calls of less urgent ranks, or of
/// organisations that had got more, don't count: one that was granted a slot at
/// the last moment would keep out all calls that precede it.
bool KeepsGrantsOnTime(const SlotQueue& queue,
                       const SlotRequest& request,
                       TimePoint read_at) {
  const bool ahead =
      IsAhead(queue.m_shares, request.m_rank, request.m_organisation);
  return std::all_of(queue.m_granted_calls.begin(), queue.m_granted_calls.end(),
                     [&](const SlotQueue::GrantedCall& grant) {
                       const bool yields = grant.m_rank > request.m_rank ||
                                           (grant.m_rank == request.m_rank &&
                                            grant.m_ahead && !ahead);
                       return yields || read_at <= grant.m_read_deadline;
                     });
}

/// Whether the replica could take a call with a short prompt now.
bool HasFreeSlot(const SlotQueue& queue,
                 const ReplicaLoad& load,
                 TimePoint now) {
  return HasToken(queue.m_rate, now) &&
         HasRoom(queue.m_slots, queue.m_prefill_rate, load.m_calls,
                 load.m_unread_tokens);
}

/// Whether the last free slot is still kept for calls that precede this one.
bool IsHeld(const SlotQueue& queue,
            const SlotRequest& request,
            const ReplicaLoad& load,
            TimePoint now) {
  return now < queue.m_freed_at + kPrecedenceHold &&
         load.m_calls + 1 >= queue.m_slots && Yields(queue, request);
}

void NoteLoad(SlotQueue& queue, const ReplicaLoad& load, TimePoint now) {
  if (load.m_calls < queue.m_turnover.m_calls)
    queue.m_freed_at = now;
  NoteCalls(queue.m_turnover, load.m_calls, now);
}

bool CanStart(const SlotQueue& queue,
              const SlotRequest& request,
              const ReplicaLoad& load,
              TimePoint now) {
  const TimePoint read_at =
      now + ReadingTime(queue, load.m_unread_tokens + request.m_prompt_tokens);
  if (!HasFreeSlot(queue, load, now) ||
      !KeepsGrantsOnTime(queue, request, read_at) ||
      IsHeld(queue, request, load, now))
    return false;
  return !request.m_can_be_on_time ||
         now + ReadingTime(queue, load.m_unread_tokens) <=
             StartBy(queue, request);
}

/// Whether the wait limit of the request has passed, or its call couldn't be on
/// time even if it started now.
bool IsExpired(const SlotQueue& queue,
               const SlotRequest& request,
               TimePoint now) {
  return request.m_until <= now ||
         (request.m_can_be_on_time && StartBy(queue, request) < now);
}

/// Whether the rate limit has no token for the request before it expires, after
/// those that wait already.
bool GetsNoToken(const SlotQueue& queue,
                 const SlotRequest& request,
                 TimePoint now) {
  const auto tokens = static_cast<double>(queue.m_slot_requests.size() + 1);
  const TimePoint start = now + TimeToTokens(queue.m_rate, tokens, now);
  return start > request.m_until ||
         (request.m_can_be_on_time && start > StartBy(queue, request));
}

/// The most urgent request, or the end iterator.
std::vector<SlotRequest>::iterator FindMostUrgent(SlotQueue& queue) {
  return std::min_element(queue.m_slot_requests.begin(),
                          queue.m_slot_requests.end(),
                          [&queue](const SlotRequest& a, const SlotRequest& b) {
                            return IsMoreUrgent(queue, a, b);
                          });
}

/// Whether a newly arrived call may overtake the waiting ones. An on-time call
/// may if the most urgent waiting call can't start yet, since the slot would
/// stay empty otherwise. A late call never overtakes an on-time one.
bool MayOvertake(SlotQueue& queue,
                 const SlotRequest& request,
                 const ReplicaLoad& load,
                 TimePoint now) {
  const auto most_urgent = FindMostUrgent(queue);
  if (most_urgent == queue.m_slot_requests.end() ||
      IsMoreUrgent(queue, request, *most_urgent))
    return true;
  return request.m_can_be_on_time &&
         !CanStart(queue, *most_urgent, load, now) &&
         LeavesTimeForOthers(queue, request, load, now);
}

/// The request that gets the next slot, or the end iterator. If the most urgent
/// one can't start, this may be the most urgent on-time one of another rank or
/// organisation, if it leaves the more urgent ones enough time.
std::vector<SlotRequest>::iterator FindStartable(SlotQueue& queue,
                                                 const ReplicaLoad& load,
                                                 TimePoint now) {
  const auto end = queue.m_slot_requests.end();
  const auto most_urgent = FindMostUrgent(queue);
  if (most_urgent == end || CanStart(queue, *most_urgent, load, now))
    return most_urgent;
  if (!HasFreeSlot(queue, load, now))
    return end;
  // The most urgent on-time request of each precedence.
  std::map<Precedence, std::vector<SlotRequest>::iterator> firsts;
  for (auto each = queue.m_slot_requests.begin(); each != end; ++each) {
    if (!each->m_can_be_on_time)
      continue;
    const auto first = firsts.emplace(PrecedenceOf(queue, *each), each).first;
    if (IsMoreUrgent(queue, *each, *first->second))
      first->second = each;
  }
  for (const auto& [precedence, first] : firsts) {
    if (first != most_urgent && CanStart(queue, *first, load, now) &&
        LeavesTimeForOthers(queue, *first, load, now))
      return first;
  }
  return end;
}

/// Drops requests that can no longer be met, and grants whose calls have begun
/// or are late.
void DropExpired(SlotQueue& queue, TimePoint now) {
  std::erase_if(queue.m_slot_requests, [&](const SlotRequest& request) {
    const bool expired = IsExpired(queue, request, now);
    if (expired)
      NoteUnserved(queue.m_rank_floor, request.m_rank, kSlotsPerRequest, now);
    return expired;
  });
  std::erase_if(
      queue.m_granted_calls, [&](const SlotQueue::GrantedCall& grant) {
        return std::min(grant.m_read_deadline, grant.m_read_at) <= now;
      });
}

/// Records the grant of a slot.
void RecordGrant(SlotQueue& queue,
                 const SlotRequest& request,
                 const ReplicaLoad& load,
                 TimePoint now) {
  TakeToken(queue.m_rate, now);
  NoteGranted(queue.m_rank_floor, request.m_rank, now);
  const bool ahead =
      IsAhead(queue.m_shares, request.m_rank, request.m_organisation);
  ChargeCall(queue.m_shares, request.m_rank, request.m_organisation,
             CostOf(queue, request));
  NoteCalls(queue.m_turnover, load.m_calls + 1, now);
  if (request.m_can_be_on_time) {
    queue.m_granted_calls.push_back(
        {request.m_read_deadline,
         now +
             ReadingTime(queue, load.m_unread_tokens + request.m_prompt_tokens),
         request.m_rank, ahead});
  }
}

void EraseRequest(SlotQueue& queue, const Endpoint& entry, uint64_t ticket) {
  std::erase_if(queue.m_slot_requests, [&](const SlotRequest& request) {
    return request.m_entry == entry && request.m_ticket == ticket;
  });
}

}  // namespace

SlotVerdict RequestSlot(SlotQueue& queue,
                        const SlotRequest& request,
                        const ReplicaLoad& load,
                        TimePoint now) {
  DropExpired(queue, now);
  NoteLoad(queue, load, now);
  if (MayOvertake(queue, request, load, now) &&
      CanStart(queue, request, load, now)) {
    RecordGrant(queue, request, load, now);
    return SlotVerdict::kGranted;
  }
  if (IsExpired(queue, request, now))
    return SlotVerdict::kDenied;
  if (GetsNoToken(queue, request, now) || IsTurnTooLate(queue, request, now) ||
      queue.m_slot_requests.size() >= kMaxQueuedRequests) {
    NoteUnserved(queue.m_rank_floor, request.m_rank, kSlotsPerRequest, now);
    return SlotVerdict::kDenied;
  }
  EraseRequest(queue, request.m_entry, request.m_ticket);
  queue.m_slot_requests.push_back(request);
  return SlotVerdict::kQueued;
}

std::vector<SlotRequest> GrantSlots(SlotQueue& queue,
                                    ReplicaLoad load,
                                    TimePoint now) {
  DropExpired(queue, now);
  NoteLoad(queue, load, now);
  std::vector<SlotRequest> granted;
  for (auto next = FindStartable(queue, load, now);
       next != queue.m_slot_requests.end();
       next = FindStartable(queue, load, now)) {
    RecordGrant(queue, *next, load, now);
    ++load.m_calls;
    load.m_unread_tokens += next->m_prompt_tokens;
    granted.push_back(*next);
    queue.m_slot_requests.erase(next);
  }
  return granted;
}

void WithdrawRequest(SlotQueue& queue,
                     const Endpoint& entry,
                     uint64_t ticket,
                     TimePoint now) {
  for (const SlotRequest& request : queue.m_slot_requests) {
    if (request.m_entry == entry && request.m_ticket == ticket &&
        LatestStart(queue, request) <= now + kWithdrawalMargin)
      NoteUnserved(queue.m_rank_floor, request.m_rank, kSlotsPerRequest, now);
  }
  EraseRequest(queue, entry, ticket);
}

}  // namespace verbenalead::decide
