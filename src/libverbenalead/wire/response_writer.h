#ifndef VERBENALEAD_WIRE_RESPONSE_WRITER_H_
#define VERBENALEAD_WIRE_RESPONSE_WRITER_H_

#include <functional>
#include <string>

#include "base/awaitable.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::wire {

/// The way back to whoever sent a request. Either Send() once, or Start(), any
/// number of Write()s and Finish(). A handler that returns without finishing
/// leaves a cut response, which the other side sees as broken, never as an end.
/// Each call returns false once the other side has gone. Used by one coroutine
/// at a time.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual Awaitable<bool> Send(Response response) = 0;
  virtual Awaitable<bool> Start(ResponseHead head) = 0;
  /// Waits while the other side reads slower than we write.
  virtual Awaitable<bool> Write(std::string bytes) = 0;
  virtual Awaitable<bool> Finish(Headers trailers) = 0;
  /// True once the other side is known to have gone.
  virtual bool gone() const = 0;
  /// Calls `function` once the other side is known to have gone, at once if it
  /// already is; an empty one unsubscribes.
  virtual void OnGone(std::function<void()> function) { function = nullptr; }
};

/// Answers one request.
using Handler = std::function<Awaitable<void>(const Request&, ResponseWriter&)>;

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RESPONSE_WRITER_H_
