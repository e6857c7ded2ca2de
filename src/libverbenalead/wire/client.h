#ifndef VERBENALEAD_WIRE_CLIENT_H_
#define VERBENALEAD_WIRE_CLIENT_H_

#include <memory>

#include "base/endpoint.h"
#include "wire/request.h"
#include "wire/response_reader.h"

namespace verbenalead::wire {

/// Interface for sending requests, implemented for HTTP/1.1 and HTTP/2 and by
/// mocks in tests. Thread-safe.
class Client {
 public:
  virtual ~Client() = default;

  /// Sends `request` to `endpoint`. kUnreachable means that nothing was sent;
  /// after any other failure the peer may have received the request.
  virtual Awaitable<AsyncResult<std::unique_ptr<ResponseReader>>>
  Open(Endpoint endpoint, Request request, TimePoint deadline) = 0;
};

/// Sends `request` and reads the complete response. Fails with kTimeout at
/// `deadline`, and with kInvalid if the body is longer than `max_body` bytes.
Awaitable<AsyncResult<Response>> Fetch(Client& client,
                                       Endpoint endpoint,
                                       Request request,
                                       TimePoint deadline,
                                       size_t max_body = size_t{64} << 20);

/// Timeouts for a response that may be large: the transfer continues as long as
/// data keeps arriving. A configuration of 290 KB sent to 15 hosts over one
/// link of 29 Mbit/s takes 1.2 s. With a single timeout for the complete
/// response, all hosts timed out and retried, and the retries kept the link
/// saturated permanently.
struct ProgressTimeouts {
  /// From the request to the response head.
  Duration m_head{};
  /// From one piece of the body to the next.
  Duration m_piece{};
  /// From the request to the end of the response.
  Duration m_total{};
};

/// Like Fetch, but with a timeout for each part of the response.
Awaitable<AsyncResult<Response>> FetchByProgress(Client& client,
                                                 Endpoint endpoint,
                                                 Request request,
                                                 ProgressTimeouts timeouts,
                                                 size_t max_body);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_CLIENT_H_
