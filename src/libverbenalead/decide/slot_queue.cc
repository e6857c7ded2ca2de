#include "decide/slot_queue.h"

#include <algorithm>

#include "decide/replica_pool.h"

namespace verbenalead::decide {
namespace {

/// Limit of queued requests, several times what can be granted in time.
constexpr size_t kMaxQueuedRequests = 256;

Duration ReadingTime(const PlaceQueue& queue, uint64_t tokens) {
  if (queue.m_prefill_rate <= 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(tokens) / queue.m_prefill_rate));
}

/// Latest time at which a call must start at an idle replica to be on time.
TimePoint StartBy(const PlaceQueue& queue, const PlaceWish& request) {
  return request.m_read_by - ReadingTime(queue, request.m_prompt_tokens);
}

/// Order of on-time requests, smallest first. Ordered by the latest start
/// alone, a call with a long prompt would often be left too little time: its
/// latest start is early, yet it would rank behind all calls whose time is
/// nearly up. So its reading time counts three times.
TimePoint UrgencyRank(const PlaceQueue& queue, const PlaceWish& request) {
  return StartBy(queue, request) -
         2 * ReadingTime(queue, request.m_prompt_tokens);
}

bool IsMoreUrgent(const PlaceQueue& queue,
                  const PlaceWish& a,
                  const PlaceWish& b) {
  if (a.m_fresh != b.m_fresh)
    return a.m_fresh;
  return a.m_fresh ? UrgencyRank(queue, a) < UrgencyRank(queue, b)
                   : a.m_read_by < b.m_read_by;
}

/// Whether all on-time calls that were granted a slot can still begin in time
/// if another prompt is read until `read_at`. An engine reads all prompts that
/// arrive between two passes before the next pass writes, so a long prompt
/// delays every call that arrived with it.
bool KeepsGrantsOnTime(const PlaceQueue& queue, TimePoint read_at) {
  return std::all_of(queue.m_promises.begin(), queue.m_promises.end(),
                     [read_at](const PlaceQueue::Promise& grant) {
                       return read_at <= grant.m_read_by;
                     });
}

bool CanStart(const PlaceQueue& queue,
              const PlaceWish& request,
              const ReplicaLoad& load,
              TimePoint now) {
  const TimePoint read_at =
      now + ReadingTime(queue, load.m_unread + request.m_prompt_tokens);
  if (!HasRoom(queue.m_slots, queue.m_prefill_rate, load.m_calls,
               load.m_unread) ||
      !KeepsGrantsOnTime(queue, read_at))
    return false;
  return !request.m_fresh ||
         now + ReadingTime(queue, load.m_unread) <= StartBy(queue, request);
}

/// Whether the wait limit of the request has passed, or its call couldn't be on
/// time even if it started now.
bool IsExpired(const PlaceQueue& queue,
               const PlaceWish& request,
               TimePoint now) {
  return request.m_until <= now ||
         (request.m_fresh && StartBy(queue, request) < now);
}

/// The most urgent request, or the end iterator.
std::vector<PlaceWish>::iterator FindMostUrgent(PlaceQueue& queue) {
  return std::min_element(queue.m_wishes.begin(), queue.m_wishes.end(),
                          [&queue](const PlaceWish& a, const PlaceWish& b) {
                            return IsMoreUrgent(queue, a, b);
                          });
}

/// Whether a newly arrived call may overtake the waiting ones. An on-time call
/// may if the most urgent waiting call can't start yet, since the slot would
/// stay empty otherwise. A late call never overtakes an on-time one.
bool MayOvertake(PlaceQueue& queue,
                 const PlaceWish& request,
                 const ReplicaLoad& load,
                 TimePoint now) {
  const auto most_urgent = FindMostUrgent(queue);
  if (most_urgent == queue.m_wishes.end() ||
      IsMoreUrgent(queue, request, *most_urgent))
    return true;
  return request.m_fresh && !CanStart(queue, *most_urgent, load, now);
}

/// Drops requests that can no longer be met, and grants whose calls have begun
/// or are late.
void DropExpired(PlaceQueue& queue, TimePoint now) {
  std::erase_if(queue.m_wishes, [&](const PlaceWish& request) {
    return IsExpired(queue, request, now);
  });
  std::erase_if(queue.m_promises, [&](const PlaceQueue::Promise& grant) {
    return std::min(grant.m_read_by, grant.m_read_at) <= now;
  });
}

/// Records the grant of a slot to an on-time call.
void RecordGrant(PlaceQueue& queue,
                 const PlaceWish& request,
                 const ReplicaLoad& load,
                 TimePoint now) {
  if (request.m_fresh) {
    queue.m_promises.push_back(
        {request.m_read_by,
         now + ReadingTime(queue, load.m_unread + request.m_prompt_tokens)});
  }
}

}  // namespace

PlaceVerdict Ask(PlaceQueue& queue,
                 const PlaceWish& request,
                 const ReplicaLoad& load,
                 TimePoint now) {
  DropExpired(queue, now);
  if (MayOvertake(queue, request, load, now) &&
      CanStart(queue, request, load, now)) {
    RecordGrant(queue, request, load, now);
    return PlaceVerdict::kGranted;
  }
  if (IsExpired(queue, request, now) ||
      queue.m_wishes.size() >= kMaxQueuedRequests)
    return PlaceVerdict::kDenied;
  Withdraw(queue, request.m_entry, request.m_ticket);
  queue.m_wishes.push_back(request);
  return PlaceVerdict::kQueued;
}

std::vector<PlaceWish> Grant(PlaceQueue& queue,
                             ReplicaLoad load,
                             TimePoint now) {
  DropExpired(queue, now);
  std::vector<PlaceWish> granted;
  for (auto most_urgent = FindMostUrgent(queue);
       most_urgent != queue.m_wishes.end() &&
       CanStart(queue, *most_urgent, load, now);
       most_urgent = FindMostUrgent(queue)) {
    RecordGrant(queue, *most_urgent, load, now);
    ++load.m_calls;
    load.m_unread += most_urgent->m_prompt_tokens;
    granted.push_back(*most_urgent);
    queue.m_wishes.erase(most_urgent);
  }
  return granted;
}

void Withdraw(PlaceQueue& queue, const Endpoint& entry, uint64_t ticket) {
  std::erase_if(queue.m_wishes, [&](const PlaceWish& request) {
    return request.m_entry == entry && request.m_ticket == ticket;
  });
}

}  // namespace verbenalead::decide
