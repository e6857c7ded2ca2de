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

/// How long to wait for an answer that may be long: what counts is that bytes
/// go on coming. A configuration of 290 KB to 15 hosts over one link of 29
/// Mbit/s takes 1.2 s; with one timeout for the whole all of them broke off and
/// asked again, and the link stayed full for good.
struct ProgressTimeouts {
  /// For the head.
  Duration m_head{};
  /// For each piece of the body.
  Duration m_piece{};
  /// For all of it, from the question on.
  Duration m_whole{};
};

/// The same as Fetch, with a timeout by progress.
Awaitable<AsyncResult<Response>> FetchByProgress(Client& client,
                                                 Endpoint endpoint,
                                                 Request request,
                                                 ProgressTimeouts timeouts);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_CLIENT_H_
