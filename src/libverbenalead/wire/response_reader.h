#ifndef VERBENALEAD_WIRE_RESPONSE_READER_H_
#define VERBENALEAD_WIRE_RESPONSE_READER_H_

#include <optional>
#include <string>

#include "base/awaitable.h"
#include "base/failure.h"
#include "base/time.h"
#include "wire/response.h"

namespace verbenalead::wire {

/// Reads the response to a request that was sent. Destroying the reader cancels
/// the rest of the response. Used by one coroutine at a time.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;

  /// Waits until `deadline` for the status and headers.
  virtual Awaitable<AsyncResult<ResponseHead>> ReadHead(TimePoint deadline) = 0;
  /// Returns the next piece of the body, or nullopt after a regular end. A
  /// truncated response fails with kBroken and never looks like a regular end.
  virtual Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) = 0;
  /// Returns the trailer fields; complete after ReadBody has returned nullopt.
  virtual const Headers& trailers() const = 0;
  /// Cancels the response: a pending read and all later ones fail, and the peer
  /// is notified to stop sending.
  virtual void Cancel() {}
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RESPONSE_READER_H_
