#ifndef VERBENALEAD_FRONT_CALL_RUNNER_H_
#define VERBENALEAD_FRONT_CALL_RUNNER_H_

#include "model/call.h"
#include "wire/response_writer.h"

namespace verbenalead::front {

/// Runs a call at a target and returns its answer to the caller. The entry
/// daemon implements it; tests of the HTTP APIs mock it.
class CallRunner {
 public:
  virtual ~CallRunner() = default;

  /// Runs `call`, whose HTTP form is `request`, and writes exactly one answer
  /// to `writer`: that of the target, or a problem document with the outcome.
  virtual Awaitable<void> Run(model::Call call,
                              wire::Request request,
                              wire::ResponseWriter& writer) = 0;
};

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_CALL_RUNNER_H_
