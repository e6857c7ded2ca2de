#ifndef VERBENALEAD_ENTRY_RETRY_ATTEMPT_H_
#define VERBENALEAD_ENTRY_RETRY_ATTEMPT_H_

#include <functional>

#include "entry/call_attempt.h"

namespace verbenalead::entry {

/// Retries a call with the new attempt `attempt`. The call first waits for a
/// slot that lets it be on time; if none comes free, it waits until
/// `wait_until` for a slot that no on-time call needs. False: no slot came
/// free.
Awaitable<bool> SendRetry(EntryState& state,
                          CallRecord& record,
                          CallAttempt& attempt,
                          TimePoint wait_until,
                          const std::function<void()>& on_sent);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_RETRY_ATTEMPT_H_
