#include "decide/admission/slot_order.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Order of on-time requests of one precedence, smallest first. Ordered by the
/// latest start alone, a call with a long prompt would often be left too little
/// time: its latest start is early, yet it would rank behind all calls whose
/// time is nearly up. So its reading time counts three times.
TimePoint UrgencyRank(const SlotQueue& queue, const SlotRequest& request) {
  return StartBy(queue, request) -
         2 * ReadingTime(queue, request.m_prompt_tokens);
}

/// Time at which the replica will have read all prompts that it has. The load
/// counts a prompt in full until its call begins to answer, which overestimates
/// the remaining time; so the end by the granted calls is used if it is
/// earlier.
TimePoint ReadingEnd(const SlotQueue& queue,
                     const ReplicaLoad& load,
                     TimePoint now) {
  TimePoint granted_end = now;
  for (const SlotQueue::GrantedCall& grant : queue.m_granted_calls)
    granted_end = std::max(granted_end, grant.m_read_at);
  return std::min(granted_end, now + ReadingTime(queue, load.m_unread_tokens));
}

}  // namespace

Precedence PrecedenceOf(const SlotQueue& queue, const SlotRequest& request) {
  return {!request.m_can_be_on_time,
          OrderedRank(queue.m_rank_floor, request.m_rank),
          VirtualTime(queue.m_shares, request.m_rank, request.m_organisation)};
}

Duration ReadingTime(const SlotQueue& queue, uint64_t tokens) {
  if (queue.m_prefill_rate <= 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(tokens) / queue.m_prefill_rate));
}

TimePoint StartBy(const SlotQueue& queue, const SlotRequest& request) {
  return request.m_read_deadline - ReadingTime(queue, request.m_prompt_tokens);
}

TimePoint LatestStart(const SlotQueue& queue, const SlotRequest& request) {
  return request.m_can_be_on_time
             ? std::min(request.m_until, StartBy(queue, request))
             : request.m_until;
}

bool IsMoreUrgent(const SlotQueue& queue,
                  const SlotRequest& a,
                  const SlotRequest& b) {
  const auto order = PrecedenceOf(queue, a) <=> PrecedenceOf(queue, b);
  if (order != 0)
    return order < 0;
  return a.m_can_be_on_time ? UrgencyRank(queue, a) < UrgencyRank(queue, b)
                            : a.m_read_deadline < b.m_read_deadline;
}

bool LeavesTimeForOthers(const SlotQueue& queue,
                         const SlotRequest& request,
                         const ReplicaLoad& load,
                         TimePoint now) {
  const Precedence own = PrecedenceOf(queue, request);
  const TimePoint reading_end = ReadingEnd(queue, load, now);
  const Duration reading = ReadingTime(queue, request.m_prompt_tokens);
  uint32_t slots_needed = load.m_calls + 1;
  for (const SlotRequest& other : queue.m_slot_requests) {
    if (!other.m_can_be_on_time || !(PrecedenceOf(queue, other) < own) ||
        reading_end > StartBy(queue, other))
      continue;
    if (reading_end + reading > StartBy(queue, other))
      return false;
    ++slots_needed;
  }
  return slots_needed <= queue.m_slots;
}

bool Yields(const SlotQueue& queue, const SlotRequest& request) {
  const int own = OrderedRank(queue.m_rank_floor, request.m_rank);
  for (int rank = 0; rank < model::kRanks; ++rank) {
    const auto& count = queue.m_rank_floor.m_counts[static_cast<size_t>(rank)];
    if (count.m_asked >= kMinAskedForFloor &&
        OrderedRank(queue.m_rank_floor, rank) < own)
      return true;
  }
  return IsAhead(queue.m_shares, request.m_rank, request.m_organisation);
}

Duration CostOf(const SlotQueue& queue, const SlotRequest& request) {
  const Duration run = request.m_run_time > Duration()
                           ? request.m_run_time
                           : HoldingTime(queue.m_turnover).value_or(Duration());
  return ReadingTime(queue, request.m_prompt_tokens) +
         run / std::max<uint32_t>(1, queue.m_slots);
}

}  // namespace verbenalead::decide
