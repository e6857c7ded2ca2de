#ifndef VERBENALEAD_ENTRY_SEND_AGAIN_H_
#define VERBENALEAD_ENTRY_SEND_AGAIN_H_

#include <functional>
#include <string>

#include "entry/call_attempt.h"

namespace verbenalead::entry {

/// Whether one more repeat of a call of `service` may be sent; takes it.
bool TakeRepeat(EntryState& state, const std::string& service);

/// Sends a call once more as `again`: in time for its caller if that can be,
/// else to what place others leave until `wait_until`. False: no place.
Awaitable<bool> SendAgain(EntryState& state,
                          CallRecord& record,
                          CallAttempt& again,
                          TimePoint wait_until,
                          const std::function<void()>& on_sent);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SEND_AGAIN_H_
