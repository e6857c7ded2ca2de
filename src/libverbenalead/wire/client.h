#ifndef VERBENALEAD_WIRE_CLIENT_H_
#define VERBENALEAD_WIRE_CLIENT_H_

#include <memory>

#include "base/endpoint.h"
#include "wire/request.h"
#include "wire/response_reader.h"

namespace verbenalead::wire {

/// Sends requests; HTTP/1.1 and HTTP/2 implement it, tests mock it. May be used
/// from several threads.
class Client {
 public:
  virtual ~Client() = default;

  /// Sends `request` to `endpoint`. kUnreachable means that nothing was sent;
  /// after any other failure the request may have been received.
  virtual Awaitable<AsyncResult<std::unique_ptr<ResponseReader>>>
  Open(Endpoint endpoint, Request request, TimePoint deadline) = 0;
};

/// Sends `request` and reads the whole response. Fails with kTimeout at
/// `deadline`, with kInvalid if the body is longer than `max_body` bytes.
Awaitable<AsyncResult<Response>> Fetch(Client& client,
                                       Endpoint endpoint,
                                       Request request,
                                       TimePoint deadline,
                                       size_t max_body = size_t{64} << 20);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_CLIENT_H_
