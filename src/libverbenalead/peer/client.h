#ifndef VERBENALEAD_PEER_CLIENT_H_
#define VERBENALEAD_PEER_CLIENT_H_

#include "peer/credentials.h"
#include "peer/session.h"
#include "wire/client.h"

namespace verbenalead::peer {

/// Sends requests to our other processes over HTTP/2: one connection to each
/// peer and thread, dialled when first needed and again after it is lost.
class Client : public wire::Client {
 public:
  /// `credentials`, if any, sign what changes something; they must outlive the
  /// client.
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
