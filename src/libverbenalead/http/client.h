#ifndef VERBENALEAD_HTTP_CLIENT_H_
#define VERBENALEAD_HTTP_CLIENT_H_

#include <memory>

#include "wire/client.h"

namespace verbenalead::http {

/// An HTTP/1.1 client on Beast. It keeps idle connections for the next request
/// to the same endpoint, a set for each thread, so that no connection is ever
/// touched by two.
class Client : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_CLIENT_H_
