#ifndef VERBENALEAD_WIRE_RESPONSE_READER_H_
#define VERBENALEAD_WIRE_RESPONSE_READER_H_

#include <optional>
#include <string>

#include "base/awaitable.h"
#include "base/failure.h"
#include "base/time.h"
#include "wire/response.h"

namespace verbenalead::wire {

/// The response to a request that was sent. Destroying it cancels what has not
/// arrived. Used by one coroutine at a time.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;

  /// Waits for status and headers until `deadline`.
  virtual Awaitable<AsyncResult<ResponseHead>> ReadHead(TimePoint deadline) = 0;
  /// The next piece of the body, or nullopt after a proper end. A response
  /// that was cut is a kBroken failure, never an end.
  virtual Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) = 0;
  /// Trailer fields; complete once ReadBody has returned nullopt.
  virtual const Headers& trailers() const = 0;
  /// Ends a read that is waiting, and each later one, with a failure, and
  /// tells the other side that nothing more is wanted.
  virtual void Cancel() {}
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RESPONSE_READER_H_
