#ifndef VERBENALEAD_DECIDE_ADMISSION_EARLY_REFUSAL_H_
#define VERBENALEAD_DECIDE_ADMISSION_EARLY_REFUSAL_H_

#include <optional>
#include <vector>

#include "decide/admission/slot_queue.h"

namespace verbenalead::decide {

/// Slots that a queued request takes on average: a call queues a request at two
/// targets and takes a slot of one.
constexpr double kSlotsPerRequest = 0.5;

/// Time until the requests that precede this one have got a slot; absent if it
/// is unknown how fast slots come free.
std::optional<Duration> ExpectedWait(const SlotQueue& queue,
                                     const SlotRequest& request);

/// Whether the turn of the request can't come in its time. Holds only for
/// requests that ask for it by `m_deny_early`.
///
/// Load: a pool far above its capacity. Harm: callers wait for hundreds of
/// milliseconds and are then refused, and are left less time for another try.
bool IsTurnTooLate(const SlotQueue& queue,
                   const SlotRequest& request,
                   TimePoint now);

/// Removes and returns the waiting requests whose turn can't come in their time
/// any more, as more urgent ones have arrived.
std::vector<SlotRequest> TakeDisplaced(SlotQueue& queue, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_EARLY_REFUSAL_H_
