#ifndef VERBENALEAD_DECIDE_ADMISSION_SLOT_ORDER_H_
#define VERBENALEAD_DECIDE_ADMISSION_SLOT_ORDER_H_

#include <compare>

#include "decide/admission/slot_queue.h"

namespace verbenalead::decide {

/// What orders requests before their time does, smallest first. Equal for all
/// on-time requests where neither ranks nor shares are in use.
struct Precedence {
  bool m_late = false;
  int m_rank = 0;
  double m_virtual_time = 0;

  friend auto operator<=>(const Precedence&, const Precedence&) = default;
};

Precedence PrecedenceOf(const SlotQueue& queue, const SlotRequest& request);

/// Time that the replica takes to read so many prompt tokens.
Duration ReadingTime(const SlotQueue& queue, uint64_t tokens);

/// Latest time at which a call must start at an idle replica to be on time.
TimePoint StartBy(const SlotQueue& queue, const SlotRequest& request);

/// Latest time at which a slot is of use to the request.
TimePoint LatestStart(const SlotQueue& queue, const SlotRequest& request);

/// Whether `a` gets a slot before `b`.
bool IsMoreUrgent(const SlotQueue& queue,
                  const SlotRequest& a,
                  const SlotRequest& b);

/// Whether the waiting requests that precede `request` could still start in
/// time if it was granted a slot before them: its prompt leaves them enough
/// time, and a slot is left for each. Requests that couldn't start in time
/// anyway don't count.
///
/// Load: urgent calls wait until the replica has read the prompts it has. Harm:
/// calls with long prompts that arrive meanwhile would take the reading time,
/// and the urgent calls would never start.
bool LeavesTimeForOthers(const SlotQueue& queue,
                         const SlotRequest& request,
                         const ReplicaLoad& load,
                         TimePoint now);

/// Whether the request yields the last free slot for a moment: calls of a more
/// urgent rank have come lately, or its organisation is ahead of others.
///
/// Load: a call waits at two targets, and slots come free at all of them. Harm:
/// most slots go to the first call that comes by, of whatever rank, while
/// urgent calls wait at other targets.
bool Yields(const SlotQueue& queue, const SlotRequest& request);

/// Time of the replica that a call takes: it reads the prompt for this call
/// alone, and shares its steps among all slots.
Duration CostOf(const SlotQueue& queue, const SlotRequest& request);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_SLOT_ORDER_H_
