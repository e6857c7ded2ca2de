#include "http/client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <map>
#include <optional>
#include <type_traits>
#include <vector>

#include "wire/status.h"

namespace verbenalead::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

/// Maximum number of idle connections kept for each endpoint.
constexpr size_t kMaxIdle = 16;
/// Sizes of the read buffer. It starts small, because one token of a stream is
/// small, and doubles while reads fill it. Otherwise thousands of waiting
/// streams would each hold a buffer of the largest size.
constexpr size_t kMinReadBytes = 4 * 1024;
constexpr size_t kMaxReadBytes = 64 * 1024;
/// Most bytes that are read before they are parsed: a head, the extension of a
/// chunk, or trailers. Failure: a server sends one of these without end.
/// Symptom: the process runs out of memory. No answer needs more, as a head has
/// 8 KB at most.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
/// Interim answers (status 1xx) before the final one; more are no answer.
constexpr int kMaxInterimAnswers = 16;

using Stream = std::unique_ptr<beast::tcp_stream>;

FailureCode CodeFor(const beast::error_code& error) {
  if (error == beast::error::timeout)
    return FailureCode::kTimeout;
  const bool too_long = error == bhttp::error::buffer_overflow ||
                        error == bhttp::error::header_limit;
  return too_long ? FailureCode::kCorrupt : FailureCode::kBroken;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

/// Sets whether the connection is reset, and its unsent bytes are discarded,
/// when it is closed.
void ResetOnClose(beast::tcp_stream& stream, bool reset) {
  beast::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

/// The idle connections of one thread, by endpoint.
class IdleConnections : public asio::execution_context::service {
 public:
  static inline asio::execution_context::id id;

  explicit IdleConnections(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  Stream Acquire(const Endpoint& endpoint) {
    auto& idle = m_idle[endpoint];
    while (!idle.empty()) {
      Stream stream = std::move(idle.back());
      idle.pop_back();
      if (IsReusable(*stream))
        return stream;
    }
    return nullptr;
  }

  void Release(const Endpoint& endpoint, Stream stream) {
    auto& idle = m_idle[endpoint];
    if (idle.size() < kMaxIdle)
      idle.push_back(std::move(stream));
  }

 private:
  /// Returns false if data is pending on an idle connection: it was closed by
  /// the other side, or has received bytes that belong to no request. A request
  /// sent on it would be lost.
  static bool IsReusable(beast::tcp_stream& stream) {
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    char byte = 0;
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            error);
    return error == asio::error::would_block;
  }

  void shutdown() override { m_idle.clear(); }

  std::map<Endpoint, std::vector<Stream>> m_idle;
};

IdleConnections& PoolOf(const asio::any_io_executor& executor) {
  return asio::use_service<IdleConnections>(
      asio::query(executor, asio::execution::context));
}

/// Reads one response from one connection, over TCP or TLS.
template <typename Socket>
class Reader : public wire::ResponseReader {
 public:
  /// `no_body` must be true for the answer to HEAD, whose Content-Length is not
  /// followed by a body.
  Reader(IdleConnections& pool,
         Endpoint endpoint,
         std::string step,
         std::unique_ptr<Socket> stream,
         bool no_body,
         bool keep)
      : m_pool(pool),
        m_endpoint(std::move(endpoint)),
        m_step(std::move(step)),
        m_stream(std::move(stream)),
        m_no_body(no_body),
        m_reuse_connections(keep) {}

  Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(
      TimePoint deadline) override {
    // Failure: a server sends an interim answer, such as 103, before the final
    // one. Symptom: the interim one is passed on as the final answer. Clients
    // skip them (RFC 9110, 15.2).
    for (int heads = 0; heads <= kMaxInterimAnswers; ++heads) {
      auto head = co_await ReadOneHead(deadline);
      if (!head || wire::IsFinalStatus(head->m_status))
        co_return head;
      // Failure: a server in trouble sends status 000. Symptom: it is passed on
      // as an answer, or skipped, and what follows it is taken for the answer.
      if (!wire::IsInterimStatus(head->m_status))
        co_return Nonsense("status " + std::to_string(head->m_status));
    }
    co_return Nonsense("interim answers without end");
  }

  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) override {
    if (m_stream)
      beast::get_lowest_layer(*m_stream).expires_at(deadline);
    while (!m_parser->is_done()) {
      if (m_cancelled)
        co_return Broken(asio::error::operation_aborted);
      // The timer doesn't end reads for which bytes are always there.
      if (Now() >= deadline)
        co_return Broken(beast::error::timeout);
      std::string piece(m_read_bytes, '\0');
      m_parser->get().body().data = piece.data();
      m_parser->get().body().size = piece.size();
      beast::error_code error;
      co_await bhttp::async_read_some(
          *m_stream, m_buffer, *m_parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (error == bhttp::error::need_buffer)
        error = {};
      if (error)
        co_return Broken(error);
      piece.resize(piece.size() - m_parser->get().body().size);
      if (piece.size() == m_read_bytes)
        m_read_bytes = std::min(2 * m_read_bytes, kMaxReadBytes);
      if (!piece.empty())
        co_return std::optional<std::string>(std::move(piece));
    }
    Finish();
    co_return std::optional<std::string>();
  }

  const wire::Headers& trailers() const override { return m_trailers; }

  void Cancel() override {
    m_cancelled = true;
    if (m_stream)
      beast::get_lowest_layer(*m_stream).cancel();
  }

 private:
  Awaitable<AsyncResult<wire::ResponseHead>> ReadOneHead(TimePoint deadline) {
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->skip(m_no_body);
    if (m_cancelled)
      co_return Broken(asio::error::operation_aborted);
    if (Now() >= deadline)
      co_return Broken(beast::error::timeout);
    beast::get_lowest_layer(*m_stream).expires_at(deadline);
    beast::error_code error;
    co_await bhttp::async_read_header(
        *m_stream, m_buffer, *m_parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
      co_return Broken(error);
    wire::ResponseHead head{static_cast<int>(m_parser->get().result_int()), {}};
    for (const auto& field : m_parser->get())
      head.m_headers[LowerCase(field.name_string())] =
          std::string(field.value());
    co_return head;
  }

  Failure Nonsense(const std::string& reason) const {
    return Failure{FailureCode::kCorrupt, m_step, ToString(m_endpoint), reason};
  }

  Failure Broken(const beast::error_code& error) const {
    return Failure{m_cancelled ? FailureCode::kCancelled : CodeFor(error),
                   m_step, ToString(m_endpoint), error.message()};
  }

  void Finish() {
    if (m_stream)
      ResetOnClose(beast::get_lowest_layer(*m_stream), false);
    for (const auto& field : m_parser->get())
      m_trailers[LowerCase(field.name_string())] = std::string(field.value());
    if constexpr (std::is_same_v<Socket, beast::tcp_stream>) {
      if (m_reuse_connections && m_parser->get().keep_alive() &&
          m_buffer.size() == 0 && m_stream) {
        m_stream->expires_never();
        m_pool.Release(m_endpoint, std::move(m_stream));
      }
    }
  }

  IdleConnections& m_pool;
  Endpoint m_endpoint;
  std::string m_step;
  std::unique_ptr<Socket> m_stream;
  const bool m_no_body;
  const bool m_reuse_connections;
  beast::flat_buffer m_buffer{kMaxUnparsedBytes};
  /// Of the head that is being read, and of the body that follows it.
  std::optional<bhttp::response_parser<bhttp::buffer_body>> m_parser;
  wire::Headers m_trailers;
  bool m_cancelled = false;
  size_t m_read_bytes = kMinReadBytes;
};

Awaitable<AsyncResult<Stream>> Connect(asio::any_io_executor executor,
                                       Endpoint endpoint,
                                       TimePoint deadline) {
  auto stream = std::make_unique<beast::tcp_stream>(executor);
  beast::error_code error;
  const tcp::endpoint remote(asio::ip::make_address(endpoint.address(), error),
                             endpoint.port());
  stream->expires_at(deadline);
  if (!error) {
    co_await stream->async_connect(
        remote, asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    co_return Failure{FailureCode::kUnreachable, "connect", ToString(endpoint),
                      error.message()};
  }
  beast::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  co_return AsyncResult<Stream>(std::move(stream));
}

using TlsStream = beast::ssl_stream<beast::tcp_stream>;

bhttp::request<bhttp::string_body> MessageFor(const Endpoint& endpoint,
                                              wire::Request request) {
  bhttp::request<bhttp::string_body> message(
      bhttp::string_to_verb(request.m_method), request.m_path, 11);
  message.set(bhttp::field::host, ToString(endpoint));
  for (const auto& [name, value] : request.m_headers)
    message.set(name, value);
  message.body() = std::move(request.m_body);
  message.prepare_payload();
  return message;
}

/// Sends `request` over `stream`, which must be connected.
template <typename Socket>
Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>> SendOver(
    std::unique_ptr<Socket> stream,
    Endpoint endpoint,
    wire::Request request,
    TimePoint deadline,
    bool keep) {
  IdleConnections& pool = PoolOf(co_await asio::this_coro::executor);
  const std::string step = request.m_method + " " + wire::PathOf(request);
  const bool no_body = request.m_method == "HEAD";
  const auto message = MessageFor(endpoint, std::move(request));
  beast::get_lowest_layer(*stream).expires_at(deadline);
  beast::error_code error;
  co_await bhttp::async_write(*stream, message,
                              asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failure{CodeFor(error), step, ToString(endpoint),
                      error.message()};
  }
  co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
      std::make_unique<Reader<Socket>>(pool, std::move(endpoint), step,
                                       std::move(stream), no_body, keep));
}

/// Connects, and verifies that the server's certificate contains the IP address
/// of `endpoint`.
Awaitable<AsyncResult<std::unique_ptr<TlsStream>>>
ConnectTls(asio::ssl::context& context, Endpoint endpoint, TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  auto connected = co_await Connect(executor, endpoint, deadline);
  if (!connected)
    co_return connected.error();
  auto stream = std::make_unique<TlsStream>(std::move(**connected), context);
  beast::get_lowest_layer(*stream).expires_at(deadline);
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(stream->native_handle()),
                                endpoint.address().c_str());
  beast::error_code error;
  co_await stream->async_handshake(
      asio::ssl::stream_base::client,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failure{FailureCode::kUnreachable, "TLS handshake",
                      ToString(endpoint), error.message()};
  }
  co_return AsyncResult<std::unique_ptr<TlsStream>>(std::move(stream));
}

}  // namespace

AsyncResult<bool> Client::UseTls(const std::string& ca_file) {
  auto context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_client);
  context->set_verify_mode(asio::ssl::verify_peer);
  boost::system::error_code error;
  context->load_verify_file(ca_file, error);
  if (error) {
    return Failure{FailureCode::kInvalid, "read CA certificates", ca_file,
                   error.message()};
  }
  m_tls = std::move(context);
  return true;
}

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
Client::Open(Endpoint endpoint, wire::Request request, TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  if (m_tls) {
    auto stream = co_await ConnectTls(*m_tls, endpoint, deadline);
    if (!stream)
      co_return stream.error();
    co_return co_await SendOver(std::move(*stream), std::move(endpoint),
                                std::move(request), deadline, false);
  }
  Stream stream;
  if (m_options.m_reuse_connections)
    stream = PoolOf(executor).Acquire(endpoint);
  if (!stream) {
    TimePoint connect_by = deadline;
    if (m_options.m_connect_timeout > Duration())
      connect_by = std::min(deadline, Now() + m_options.m_connect_timeout);
    auto connected = co_await Connect(executor, endpoint, connect_by);
    if (!connected)
      co_return connected.error();
    stream = std::move(*connected);
  }
  if (m_options.m_reset_unfinished)
    ResetOnClose(*stream, true);
  co_return co_await SendOver(std::move(stream), std::move(endpoint),
                              std::move(request), deadline,
                              m_options.m_reuse_connections);
}

}  // namespace verbenalead::http
