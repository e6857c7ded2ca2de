#include "peer/client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>

#include "base/log.h"

namespace verbenalead::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The sessions that the client has opened on one thread, by peer.
class SessionPool : public asio::execution_context::service {
 public:
  static inline asio::execution_context::id id;

  explicit SessionPool(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  std::shared_ptr<Session> Find(const Endpoint& endpoint) {
    auto found = m_sessions.find(endpoint);
    if (found == m_sessions.end())
      return nullptr;
    if (!found->second->usable()) {
      m_sessions.erase(found);
      return nullptr;
    }
    return found->second;
  }

  void Add(const Endpoint& endpoint, std::shared_ptr<Session> session) {
    m_sessions[endpoint] = std::move(session);
  }

 private:
  void shutdown() override { m_sessions.clear(); }

  std::map<Endpoint, std::shared_ptr<Session>> m_sessions;
};

Failure NotConnected(const Endpoint& endpoint, const std::string& reason) {
  return Failure{FailureCode::kUnreachable, "connect", ToString(endpoint),
                 reason};
}

/// Connects `socket`, or fails at `deadline`: a SYN sent over a broken link is
/// never answered.
///
/// Failure: the process is suspended past the deadline, and the connection is
/// ready. Symptom: the timer's handler is queued already and can't be
/// cancelled; it runs after the socket's owner has released it, and the process
/// crashes. Therefore the handler owns the socket too. A connection that was
/// moved out of it isn't closed.
Awaitable<AsyncResult<bool>> Connect(std::shared_ptr<tcp::socket> socket,
                                     Endpoint endpoint,
                                     TimePoint deadline) {
  boost::system::error_code error;
  const tcp::endpoint remote(asio::ip::make_address(endpoint.address(), error),
                             endpoint.port());
  if (error)
    co_return NotConnected(endpoint, error.message());
  asio::steady_timer timer(socket->get_executor(), deadline);
  timer.async_wait([socket](const boost::system::error_code& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled)
      socket->close(ignored);
  });
  co_await socket->async_connect(
      remote, asio::redirect_error(asio::use_awaitable, error));
  timer.cancel();
  if (!error && !socket->is_open())
    error = asio::error::timed_out;
  if (error)
    co_return NotConnected(endpoint, error.message());
  co_return true;
}

}  // namespace

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
Client::Open(Endpoint endpoint, wire::Request request, TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  auto& pool = asio::use_service<SessionPool>(
      asio::query(executor, asio::execution::context));
  std::shared_ptr<Session> session = pool.Find(endpoint);
  // A device between the two hosts may have dropped an idle connection without
  // an error at either end. A request sent on it would be lost, and so would a
  // query for the outcome of an earlier request. The PING that detects this
  // costs one round trip, and is sent only if nothing was received recently.
  if (session && !session->recently_active() && !co_await session->Probe()) {
    LogLine("connection_doubtful").With("peer", ToString(endpoint)).Warn();
    session->Retire();
    session = pool.Find(endpoint);
  }
  if (!session) {
    auto socket = std::make_shared<tcp::socket>(executor);
    const auto connect_deadline =
        std::min(deadline, Now() + m_limits.m_silence_timeout);
    auto connected = co_await Connect(socket, endpoint, connect_deadline);
    if (!connected)
      co_return connected.error();
    // Another coroutine on this thread may have connected in the meantime.
    session = pool.Find(endpoint);
    if (!session) {
      session = Session::Dial(std::move(*socket), m_limits, endpoint);
      pool.Add(endpoint, session);
    }
  }
  if (m_credentials != nullptr)
    m_credentials->Sign(request);
  co_return session->Open(std::move(request));
}

}  // namespace verbenalead::peer
