#ifndef VERBENALEAD_FRONT_CALL_RUNNER_H_
#define VERBENALEAD_FRONT_CALL_RUNNER_H_

#include "model/call.h"
#include "wire/response_writer.h"

namespace verbenalead::front {

/// Carries a call to a target and its answer back. The entry daemon implements
/// it; tests of the front mock it.
class CallRunner {
 public:
  virtual ~CallRunner() = default;

  /// Runs `call`, whose HTTP form is `request`, and writes exactly one answer
  /// to `writer`: the target's, or a problem document that tells the outcome.
  virtual Awaitable<void> Run(model::Call call,
                              wire::Request request,
                              wire::ResponseWriter& writer) = 0;
};

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_CALL_RUNNER_H_
