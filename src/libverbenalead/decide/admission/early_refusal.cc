#include "decide/admission/early_refusal.h"

#include <algorithm>
#include <map>
#include <string>

#include "decide/admission/slot_order.h"

namespace verbenalead::decide {
namespace {

/// A request is denied early only if this part of its expected wait exceeds the
/// time it has left. Slots come free unevenly and requests ahead may be
/// withdrawn, so the wait may be shorter than expected.
constexpr double kMinWaitFactor = 0.5;
/// Number of requests ahead below which none is refused early: with so few,
/// when the next slots come free is up to chance.
constexpr double kMinAhead = 4;

std::optional<Duration> WaitBehind(const SlotQueue& queue, double ahead) {
  const auto rate = FreeSlotRate(queue.m_turnover, queue.m_slots);
  if (!rate)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ahead * kSlotsPerRequest / *rate));
}

bool IsTooLate(const SlotQueue& queue,
               const SlotRequest& request,
               double ahead,
               TimePoint now) {
  if (!request.m_deny_early || ahead < kMinAhead)
    return false;
  const auto wait = WaitBehind(queue, ahead);
  return wait &&
         now + std::chrono::duration_cast<Duration>(*wait * kMinWaitFactor) >
             LatestStart(queue, request);
}

/// Number of waiting requests that get a slot before this one. Organisations of
/// one rank take turns, so another one's requests precede this one only as
/// often as those of its own organisation do, and once more.
double CountAhead(const SlotQueue& queue, const SlotRequest& request) {
  const Precedence own = PrecedenceOf(queue, request);
  size_t ahead = 0;
  size_t own_ahead = 0;
  std::map<std::string, size_t> others;
  for (const SlotRequest& other : queue.m_slot_requests) {
    const Precedence precedence = PrecedenceOf(queue, other);
    const bool same_rank =
        precedence.m_late == own.m_late && precedence.m_rank == own.m_rank;
    if (same_rank && other.m_organisation &&
        other.m_organisation != request.m_organisation)
      ++others[*other.m_organisation];
    else if (IsMoreUrgent(queue, other, request))
      ++(same_rank ? own_ahead : ahead);
  }
  ahead += own_ahead;
  for (const auto& [organisation, waiting] : others)
    ahead += std::min(waiting, own_ahead + 1);
  return static_cast<double>(ahead);
}

}  // namespace

std::optional<Duration> ExpectedWait(const SlotQueue& queue,
                                     const SlotRequest& request) {
  return WaitBehind(queue, CountAhead(queue, request));
}

bool IsTurnTooLate(const SlotQueue& queue,
                   const SlotRequest& request,
                   TimePoint now) {
  return request.m_deny_early &&
         IsTooLate(queue, request, CountAhead(queue, request), now);
}

std::vector<SlotRequest> TakeDisplaced(SlotQueue& queue, TimePoint now) {
  std::vector<SlotRequest>& waiting = queue.m_slot_requests;
  std::vector<SlotRequest> displaced;
  if (!FreeSlotRate(queue.m_turnover, queue.m_slots) ||
      std::none_of(
          waiting.begin(), waiting.end(),
          [](const SlotRequest& request) { return request.m_deny_early; }))
    return displaced;
  std::vector<SlotRequest> kept;
  for (const SlotRequest& request : waiting) {
    const bool too_late = IsTurnTooLate(queue, request, now);
    (too_late ? displaced : kept).push_back(request);
  }
  waiting = std::move(kept);
  for (const SlotRequest& request : displaced)
    NoteUnserved(queue.m_rank_floor, request.m_rank, kSlotsPerRequest, now);
  return displaced;
}

}  // namespace verbenalead::decide
