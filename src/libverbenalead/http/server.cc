#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/ssl.hpp>
#include <utility>

#include "base/log.h"
#include "base/spawn.h"
#include "http/disconnect_monitor.h"
#include "http/http1_writer.h"
#include "http/server_state.h"

namespace verbenalead::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using StatePtr = std::shared_ptr<ServerState>;
using Parser = bhttp::request_parser<bhttp::string_body>;

constexpr size_t kReadBytes = 8 * 1024;
constexpr Duration kHandshakeTimeout = 10s;

/// Counts one request as in progress during the lifetime of the object.
class BusyGuard {
 public:
  explicit BusyGuard(ServerState& state) : m_state(state) {
    ++m_state.m_requests_in_progress;
  }
  ~BusyGuard() { --m_state.m_requests_in_progress; }

  BusyGuard(const BusyGuard&) = delete;
  BusyGuard& operator=(const BusyGuard&) = delete;

 private:
  ServerState& m_state;
};

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

wire::Response Problem(int status, const std::string& reason) {
  return {
      status,
      {{"content-type", "application/problem+json"}, {"x-outcome", "refused"}},
      "{\"outcome\":\"refused\",\"ran\":false,\"title\":\"" + reason + "\"}\n"};
}

/// Returns the answer to a request that could not be parsed.
wire::Response ProblemFor(const beast::error_code& error) {
  if (error == bhttp::error::header_limit)
    return Problem(431, "the header is too long");
  if (error == bhttp::error::body_limit)
    return Problem(413, "the body is too long");
  return Problem(400, "malformed HTTP");
}

bool IsBadInput(const beast::error_code& error) {
  return error.category() ==
             beast::error_code(bhttp::error::bad_method).category() &&
         error != bhttp::error::end_of_stream &&
         error != bhttp::error::partial_message;
}

wire::Request RequestFrom(Parser& parser, const std::string& peer) {
  wire::Request request;
  auto& message = parser.get();
  request.m_method = std::string(message.method_string());
  request.m_path = std::string(message.target());
  for (const auto& field : message)
    request.m_headers[LowerCase(field.name_string())] =
        std::string(field.value());
  request.m_body = std::move(message.body());
  request.m_peer = peer;
  return request;
}

template <typename Stream>
Awaitable<void> RefuseBadInput(Stream& stream,
                               const ServerState& state,
                               const std::string& peer,
                               beast::error_code error) {
  LogLine("bad_request")
      .With("peer", peer)
      .With("reason", error.message())
      .Warn();
  Http1Writer<Stream> writer(stream, state.limits().m_idle_timeout,
                             [] { return false; });
  co_await writer.Send(ProblemFor(error));
  // TCP resets a connection that is closed with unread bytes, and the caller
  // might lose the answer. So the server closes only its sending side, and
  // discards what arrives for up to 1 s while the caller reads the answer.
  beast::error_code ignored;
  beast::get_lowest_layer(stream).socket().shutdown(tcp::socket::shutdown_send,
                                                    ignored);
  beast::get_lowest_layer(stream).expires_after(1s);
  std::string rest(kReadBytes, '\0');
  while (!ignored) {
    co_await beast::get_lowest_layer(stream).async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// Waits for the first byte of the next request. Returns false if the
/// connection ends or times out before.
template <typename Stream>
Awaitable<bool> AwaitRequest(Stream& stream, beast::flat_buffer& buffer) {
  if (buffer.size() > 0)
    co_return true;
  beast::error_code error;
  const size_t size = co_await stream.async_read_some(
      buffer.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  buffer.commit(size);
  co_return !error;
}

/// Reads and answers one request. Returns false if the connection has to be
/// closed.
template <typename Stream>
Awaitable<bool> ServeRequest(Stream& stream,
                             beast::flat_buffer& buffer,
                             StatePtr state,
                             std::string peer,
                             DisconnectMonitor& monitor) {
  const ServerLimits limits = state->limits();
  beast::get_lowest_layer(stream).expires_after(limits.m_request_timeout);
  Parser parser;
  parser.header_limit(limits.m_max_header);
  parser.body_limit(limits.m_max_body);
  beast::error_code error;
  co_await bhttp::async_read(stream, buffer, parser,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    if (IsBadInput(error))
      co_await RefuseBadInput(stream, *state, peer, error);
    co_return false;
  }
  const bool client_keeps_alive = parser.get().keep_alive();
  const wire::Request request = RequestFrom(parser, peer);
  auto keep_alive = [state, client_keeps_alive] {
    return client_keeps_alive && !state->m_draining;
  };
  Http1Writer<Stream> writer(stream, limits.m_idle_timeout, keep_alive);
  beast::get_lowest_layer(stream).expires_never();
  monitor.Start([&writer] { writer.RecordDisconnect(); });
  co_await state->m_handler(request, writer);
  monitor.Stop();
  co_return writer.finished() && writer.kept_alive();
}

template <typename Stream>
Awaitable<void> ServeConnection(Stream& stream, StatePtr state) {
  auto& tcp_layer = beast::get_lowest_layer(stream);
  beast::error_code ignored;
  const auto remote = tcp_layer.socket().remote_endpoint(ignored);
  const std::string peer =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  auto monitor = std::make_shared<DisconnectMonitor>(tcp_layer.socket());
  auto connection = std::make_shared<ServerConnection>(tcp_layer.socket());
  state->m_connections.Add(connection);
  beast::flat_buffer buffer;
  bool more = true;
  while (more) {
    tcp_layer.expires_after(state->limits().m_idle_timeout);
    if (!co_await AwaitRequest(stream, buffer))
      break;
    connection->set_idle(false);
    const BusyGuard busy(*state);
    more = co_await ServeRequest(stream, buffer, state, peer, *monitor);
    connection->set_idle(true);
    more = more && !state->m_connections.ended();
  }
  state->m_connections.Remove(connection);
  connection->Detach();
  monitor->Detach();
}

Awaitable<void> ServePlain(tcp::socket socket, StatePtr state) {
  beast::tcp_stream stream(std::move(socket));
  co_await ServeConnection(stream, state);
}

Awaitable<void> ServeTls(tcp::socket socket, StatePtr state) {
  const ReloadableTlsContext::Context context = state->m_tls->current();
  beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), *context);
  beast::get_lowest_layer(stream).expires_after(kHandshakeTimeout);
  beast::error_code error;
  co_await stream.async_handshake(
      asio::ssl::stream_base::server,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    LogLine("handshake_failed").With("reason", error.message()).Info();
    co_return;
  }
  co_await ServeConnection(stream, state);
}

void Serve(tcp::socket socket, const StatePtr& state) {
  const auto executor = socket.get_executor();
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  Spawn(executor,
        state->m_tls ? ServeTls(std::move(socket), state)
                     : ServePlain(std::move(socket), state),
        "serve_connection");
}

}  // namespace

Server::Server(IoThreads& threads,
               ServerLimits limits,
               wire::Handler handler,
               std::shared_ptr<const ReloadableTlsContext> tls)
    : m_state(std::make_shared<ServerState>(limits,
                                            std::move(handler),
                                            std::move(tls))),
      m_listener(threads, [state = m_state](tcp::socket socket) {
        Serve(std::move(socket), state);
      }) {}

void Server::StopAccepting() {
  m_listener.Stop();
  m_state->m_connections.CloseIdle();
}

void Server::SetLimits(const ServerLimits& limits) {
  m_state->SetLimits(limits);
}

void Server::Drain() {
  m_state->m_draining = true;
}

int Server::requests_in_progress() const {
  return m_state->m_requests_in_progress;
}

}  // namespace verbenalead::http
