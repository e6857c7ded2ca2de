#ifndef VERBENALEAD_WIRE_RESPONSE_WRITER_H_
#define VERBENALEAD_WIRE_RESPONSE_WRITER_H_

#include <functional>
#include <string>

#include "base/awaitable.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::wire {

/// Sends the response to the client of a request. Call either Send() once, or
/// Start(), any number of Write()s and Finish(). If a handler returns without
/// finishing, the response is truncated, and the client detects it as broken
/// rather than complete. All four functions return false after the client has
/// disconnected. Used by one coroutine at a time.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual Awaitable<bool> Send(Response response) = 0;
  virtual Awaitable<bool> Start(ResponseHead head) = 0;
  /// Suspends the caller while the client reads more slowly than data is
  /// written.
  virtual Awaitable<bool> Write(std::string bytes) = 0;
  virtual Awaitable<bool> Finish(Headers trailers) = 0;
  /// Whether the client is known to have disconnected.
  virtual bool disconnected() const = 0;
  /// Registers `function`, which is called when the client is known to have
  /// disconnected; immediately if that is already the case. An empty function
  /// removes the registration.
  virtual void OnDisconnect(std::function<void()> function) {
    function = nullptr;
  }
};

/// Handles one request and sends its response.
using Handler = std::function<Awaitable<void>(const Request&, ResponseWriter&)>;

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RESPONSE_WRITER_H_
