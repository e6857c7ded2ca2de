#ifndef VERBENALEAD_PEER_CLIENT_H_
#define VERBENALEAD_PEER_CLIENT_H_

#include "peer/credentials.h"
#include "peer/session.h"
#include "wire/client.h"

namespace verbenalead::peer {

/// Sends requests to other processes of this system over HTTP/2: one connection
/// to each peer and thread, opened on first use and again after it was lost.
class Client : public wire::Client {
 public:
  /// If `credentials` is not null, it signs the requests that change state; it
  /// must outlive the client.
  explicit Client(SessionLimits limits,
                  const Credentials* credentials = nullptr)
      : m_limits(limits), m_credentials(credentials) {}

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  const SessionLimits m_limits;
  const Credentials* const m_credentials;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_CLIENT_H_
