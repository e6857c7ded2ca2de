#ifndef VERBENALEAD_ENTRY_RETRY_ATTEMPT_H_
#define VERBENALEAD_ENTRY_RETRY_ATTEMPT_H_

#include <functional>
#include <string>

#include "entry/call_attempt.h"

namespace verbenalead::entry {

/// Why a call is sent to one more replica.
enum class RetryPurpose {
  kRetry,   ///< The last attempt failed or was rejected.
  kResume,  ///< The answer broke off, and its rest is requested elsewhere.
  kHedge,   ///< The current replica is silent.
};

/// Whether one more attempt of the call is within the limit on retries of its
/// service; if so, counts it. Without the limit, retries would multiply the
/// load of a service whose replicas fail.
bool TryTakeRetry(EntryState& state,
                  const CallRecord& record,
                  RetryPurpose purpose);

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
