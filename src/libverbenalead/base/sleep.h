#ifndef VERBENALEAD_BASE_SLEEP_H_
#define VERBENALEAD_BASE_SLEEP_H_

#include "base/awaitable.h"
#include "base/time.h"

namespace verbenalead {

/// Suspends the calling coroutine for `duration`.
Awaitable<void> Sleep(Duration duration);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SLEEP_H_
