#include "decide/admission/slot_queue.h"

#include <algorithm>

#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {
namespace {

/// Limit of queued requests, several times what can be granted in time.
constexpr size_t kMaxQueuedRequests = 256;

Duration ReadingTime(const SlotQueue& queue, uint64_t tokens) {
  if (queue.m_prefill_rate <= 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(tokens) / queue.m_prefill_rate));
}

/// Latest time at which a call must start at an idle replica to be on time.
TimePoint StartBy(const SlotQueue& queue, const SlotRequest& request) {
  return request.m_read_deadline - ReadingTime(queue, request.m_prompt_tokens);
}

/// Order of on-time requests, smallest first. Ordered by the latest start
/// alone, a call with a long prompt would often be left too little time: its
/// latest start is early, yet it would rank behind all calls whose time is
/// nearly up. So its reading time counts three times.
TimePoint UrgencyRank(const SlotQueue& queue, const SlotRequest& request) {
  return StartBy(queue, request) -
         2 * ReadingTime(queue, request.m_prompt_tokens);
}

bool IsMoreUrgent(const SlotQueue& queue,
                  const SlotRequest& a,
                  const SlotRequest& b) {
  if (a.m_can_be_on_time != b.m_can_be_on_time)
    return a.m_can_be_on_time;
  return a.m_can_be_on_time ? UrgencyRank(queue, a) < UrgencyRank(queue, b)
                            : a.m_read_deadline < b.m_read_deadline;
}

/// Whether all on-time calls that were granted a slot can still begin in time
/// if another prompt is read until `read_at`. An engine reads all prompts that
/// arrive between two passes before the next pass writes, so a long prompt
/// delays every call that arrived with it.
bool KeepsGrantsOnTime(const SlotQueue& queue, TimePoint read_at) {
  return std::all_of(queue.m_granted_calls.begin(), queue.m_granted_calls.end(),
                     [read_at](const SlotQueue::GrantedCall& grant) {
                       return read_at <= grant.m_read_deadline;
                     });
}

bool CanStart(const SlotQueue& queue,
              const SlotRequest& request,
              const ReplicaLoad& load,
              TimePoint now) {
  const TimePoint read_at =
      now + ReadingTime(queue, load.m_unread_tokens + request.m_prompt_tokens);
  if (!HasToken(queue.m_rate, now) ||
      !HasRoom(queue.m_slots, queue.m_prefill_rate, load.m_calls,
               load.m_unread_tokens) ||
      !KeepsGrantsOnTime(queue, read_at))
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
  return request.m_can_be_on_time && !CanStart(queue, *most_urgent, load, now);
}

/// Drops requests that can no longer be met, and grants whose calls have begun
/// or are late.
void DropExpired(SlotQueue& queue, TimePoint now) {
  std::erase_if(queue.m_slot_requests, [&](const SlotRequest& request) {
    return IsExpired(queue, request, now);
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
  if (request.m_can_be_on_time) {
    queue.m_granted_calls.push_back(
        {request.m_read_deadline,
         now + ReadingTime(queue,
                           load.m_unread_tokens + request.m_prompt_tokens)});
  }
}

}  // namespace

SlotVerdict RequestSlot(SlotQueue& queue,
                        const SlotRequest& request,
                        const ReplicaLoad& load,
                        TimePoint now) {
  DropExpired(queue, now);
  if (MayOvertake(queue, request, load, now) &&
      CanStart(queue, request, load, now)) {
    RecordGrant(queue, request, load, now);
    return SlotVerdict::kGranted;
  }
  if (IsExpired(queue, request, now) || GetsNoToken(queue, request, now) ||
      queue.m_slot_requests.size() >= kMaxQueuedRequests)
    return SlotVerdict::kDenied;
  WithdrawRequest(queue, request.m_entry, request.m_ticket);
  queue.m_slot_requests.push_back(request);
  return SlotVerdict::kQueued;
}

std::vector<SlotRequest> GrantSlots(SlotQueue& queue,
                                    ReplicaLoad load,
                                    TimePoint now) {
  DropExpired(queue, now);
  std::vector<SlotRequest> granted;
  for (auto most_urgent = FindMostUrgent(queue);
       most_urgent != queue.m_slot_requests.end() &&
       CanStart(queue, *most_urgent, load, now);
       most_urgent = FindMostUrgent(queue)) {
    RecordGrant(queue, *most_urgent, load, now);
    ++load.m_calls;
    load.m_unread_tokens += most_urgent->m_prompt_tokens;
    granted.push_back(*most_urgent);
    queue.m_slot_requests.erase(most_urgent);
  }
  return granted;
}

void WithdrawRequest(SlotQueue& queue, const Endpoint& entry, uint64_t ticket) {
  std::erase_if(queue.m_slot_requests, [&](const SlotRequest& request) {
    return request.m_entry == entry && request.m_ticket == ticket;
  });
}

}  // namespace verbenalead::decide
