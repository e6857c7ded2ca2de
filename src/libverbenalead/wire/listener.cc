#include "wire/listener.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/awaitable.h"
#include "base/spawn.h"

namespace verbenalead::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Listener::State {
  State(IoThreads& threads, OnConnection on_connection)
      : m_threads(threads),
        m_on_connection(std::move(on_connection)),
        m_acceptor(threads.main()) {}

  IoThreads& m_threads;
  const OnConnection m_on_connection;
  tcp::acceptor m_acceptor;
};

namespace {

template <typename StatePtr>
Awaitable<void> AcceptLoop(StatePtr state) {
  while (state->m_acceptor.is_open()) {
    auto executor = state->m_threads.Next();
    boost::system::error_code error;
    tcp::socket socket = co_await state->m_acceptor.async_accept(
        executor, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted)
      co_return;
    if (error)
      continue;
    asio::post(executor, [state, socket = std::move(socket)]() mutable {
      state->m_on_connection(std::move(socket));
    });
  }
}

}  // namespace

Listener::Listener(IoThreads& threads, OnConnection on_connection)
    : m_state(std::make_shared<State>(threads, std::move(on_connection))) {}

Listener::~Listener() {
  Stop();
}

AsyncResult<Endpoint> Listener::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  const tcp::endpoint local(asio::ip::make_address(endpoint.address(), error),
                            endpoint.port());
  tcp::acceptor& acceptor = m_state->m_acceptor;
  if (!error)
    acceptor.open(local.protocol(), error);
  if (!error)
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor.bind(local, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Failure{FailureCode::kInvalid, "listen", ToString(endpoint),
                   error.message()};
  }
  Spawn(acceptor.get_executor(), AcceptLoop(m_state), "accept_loop");
  return Endpoint(endpoint.address(), acceptor.local_endpoint().port());
}

void Listener::Stop() {
  asio::post(m_state->m_acceptor.get_executor(), [state = m_state] {
    boost::system::error_code ignored;
    state->m_acceptor.close(ignored);
  });
}

}  // namespace verbenalead::wire
