#ifndef VERBENALEAD_DECIDE_ATTEMPTS_NOT_RUN_PROMISE_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_NOT_RUN_PROMISE_H_

#include "decide/admission/call_progress.h"

namespace verbenalead::decide {

/// Whether an answer with this HTTP status promises its caller that the call
/// has not run and never will. A caller repeats any call after such an answer,
/// also one that must run at most once.
bool PromisesNotRun(int status);

/// Whether the call may have run at a replica, or may still run there.
bool MayHaveRun(const CallProgress& progress);

/// Whether an answer with `status` must not reach the caller of a call with
/// this progress, because it would promise that the call has not run.
///
/// The kind of the call doesn't count. The caller of an idempotent call loses
/// nothing: it may repeat the call after any failure. And whoever reads the
/// status need not know the route to know what it says.
bool IsFalsePromise(int status, const CallProgress& progress);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_NOT_RUN_PROMISE_H_
