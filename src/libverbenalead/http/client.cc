#include "http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <vector>

namespace verbenalead::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

/// Idle connections kept for each endpoint; more are closed.
constexpr size_t kMaxIdle = 16;
constexpr size_t kReadBytes = 64 * 1024;

using Stream = std::unique_ptr<beast::tcp_stream>;

FailureCode CodeFor(const beast::error_code& error) {
  return error == beast::error::timeout ? FailureCode::kTimeout
                                        : FailureCode::kBroken;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

/// The idle connections of one thread, by endpoint.
class Pool : public asio::execution_context::service {
 public:
  static inline asio::execution_context::id id;

  explicit Pool(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  Stream Take(const Endpoint& endpoint) {
    auto& idle = m_idle[endpoint];
    while (!idle.empty()) {
      Stream stream = std::move(idle.back());
      idle.pop_back();
      if (StillOpen(*stream))
        return stream;
    }
    return nullptr;
  }

  void Give(const Endpoint& endpoint, Stream stream) {
    auto& idle = m_idle[endpoint];
    if (idle.size() < kMaxIdle)
      idle.push_back(std::move(stream));
  }

 private:
  /// An idle connection on which something waits to be read has been closed by
  /// the other side (or is out of step): a request sent on it would be lost.
  static bool StillOpen(beast::tcp_stream& stream) {
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

Pool& PoolOf(const asio::any_io_executor& executor) {
  return asio::use_service<Pool>(
      asio::query(executor, asio::execution::context));
}

/// Reads one response from one connection.
class Reader : public wire::ResponseReader {
 public:
  /// `no_body` for the answer to HEAD, whose length speaks of no body.
  Reader(Pool& pool,
         Endpoint endpoint,
         std::string step,
         Stream stream,
         bool no_body)
      : m_pool(pool),
        m_endpoint(std::move(endpoint)),
        m_step(std::move(step)),
        m_stream(std::move(stream)) {
    m_parser.body_limit(boost::none);
    m_parser.skip(no_body);
  }

  Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(
      TimePoint deadline) override {
    if (m_cancelled)
      co_return Broken(asio::error::operation_aborted);
    m_stream->expires_at(deadline);
    beast::error_code error;
    co_await bhttp::async_read_header(
        *m_stream, m_buffer, m_parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
      co_return Broken(error);
    wire::ResponseHead head{static_cast<int>(m_parser.get().result_int()), {}};
    for (const auto& field : m_parser.get())
      head.m_headers[LowerCase(field.name_string())] =
          std::string(field.value());
    co_return head;
  }

  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) override {
    if (m_stream)
      m_stream->expires_at(deadline);
    while (!m_parser.is_done()) {
      if (m_cancelled)
        co_return Broken(asio::error::operation_aborted);
      std::string piece(kReadBytes, '\0');
      m_parser.get().body().data = piece.data();
      m_parser.get().body().size = piece.size();
      beast::error_code error;
      co_await bhttp::async_read_some(
          *m_stream, m_buffer, m_parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (error == bhttp::error::need_buffer)
        error = {};
      if (error)
        co_return Broken(error);
      piece.resize(kReadBytes - m_parser.get().body().size);
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
      m_stream->cancel();
  }

 private:
  Failure Broken(const beast::error_code& error) const {
    return Failure{m_cancelled ? FailureCode::kCancelled : CodeFor(error),
                   m_step, ToString(m_endpoint), error.message()};
  }

  void Finish() {
    for (const auto& field : m_parser.get())
      m_trailers[LowerCase(field.name_string())] = std::string(field.value());
    if (m_parser.get().keep_alive() && m_buffer.size() == 0 && m_stream) {
      m_stream->expires_never();
      m_pool.Give(m_endpoint, std::move(m_stream));
    }
  }

  Pool& m_pool;
  Endpoint m_endpoint;
  std::string m_step;
  Stream m_stream;
  beast::flat_buffer m_buffer;
  bhttp::response_parser<bhttp::buffer_body> m_parser;
  wire::Headers m_trailers;
  bool m_cancelled = false;
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

}  // namespace

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
Client::Open(Endpoint endpoint, wire::Request request, TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  Pool& pool = PoolOf(executor);
  Stream stream = pool.Take(endpoint);
  if (!stream) {
    auto connected = co_await Connect(executor, endpoint, deadline);
    if (!connected)
      co_return connected.error();
    stream = std::move(*connected);
  }
  bhttp::request<bhttp::string_body> message(
      bhttp::string_to_verb(request.m_method), request.m_path, 11);
  message.set(bhttp::field::host, ToString(endpoint));
  for (const auto& [name, value] : request.m_headers)
    message.set(name, value);
  message.body() = std::move(request.m_body);
  message.prepare_payload();
  stream->expires_at(deadline);
  beast::error_code error;
  const std::string step = request.m_method + " " + wire::PathOf(request);
  co_await bhttp::async_write(*stream, message,
                              asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failure{CodeFor(error), step, ToString(endpoint),
                      error.message()};
  }
  co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
      std::make_unique<Reader>(pool, std::move(endpoint), step,
                               std::move(stream), request.m_method == "HEAD"));
}

}  // namespace verbenalead::http
