#include "http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/log.h"

namespace verbenalead::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

/// Writes one response to one HTTP/1.1 connection.
class Http1Writer : public wire::ResponseWriter {
 public:
  Http1Writer(beast::tcp_stream& stream, Duration idle, bool keep_alive)
      : m_stream(stream), m_idle(idle), m_keep_alive(keep_alive) {}

  Awaitable<bool> Send(wire::Response response) override {
    bhttp::response<bhttp::string_body> message;
    message.result(static_cast<unsigned>(response.m_status));
    for (const auto& [name, value] : response.m_headers)
      message.set(name, value);
    message.keep_alive(m_keep_alive);
    message.body() = std::move(response.m_body);
    message.prepare_payload();
    m_stream.expires_after(m_idle);
    beast::error_code error;
    co_await bhttp::async_write(
        m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return Note(error, true);
  }

  Awaitable<bool> Start(wire::ResponseHead head) override {
    bhttp::response<bhttp::empty_body> message;
    message.result(static_cast<unsigned>(head.m_status));
    for (const auto& [name, value] : head.m_headers)
      message.set(name, value);
    message.keep_alive(m_keep_alive);
    message.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    m_stream.expires_after(m_idle);
    beast::error_code error;
    co_await bhttp::async_write_header(
        m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    m_started = true;
    co_return Note(error, false);
  }

  Awaitable<bool> Write(std::string bytes) override {
    if (bytes.empty() || m_gone)
      co_return !m_gone;
    m_stream.expires_after(m_idle);
    beast::error_code error;
    co_await asio::async_write(
        m_stream, bhttp::make_chunk(asio::buffer(bytes)),
        asio::redirect_error(asio::use_awaitable, error));
    co_return Note(error, false);
  }

  Awaitable<bool> Finish(wire::Headers trailers) override {
    if (m_gone)
      co_return false;
    bhttp::fields fields;
    for (const auto& [name, value] : trailers)
      fields.set(name, value);
    m_stream.expires_after(m_idle);
    beast::error_code error;
    co_await asio::async_write(
        m_stream, bhttp::make_chunk_last(fields),
        asio::redirect_error(asio::use_awaitable, error));
    co_return Note(error, true);
  }

  bool gone() const override { return m_gone; }
  bool finished() const { return m_finished; }
  bool started() const { return m_started; }

 private:
  bool Note(const beast::error_code& error, bool finished) {
    if (error)
      m_gone = true;
    else
      m_finished = finished;
    return !m_gone;
  }

  beast::tcp_stream& m_stream;
  const Duration m_idle;
  const bool m_keep_alive;
  bool m_started = false;
  bool m_finished = false;
  bool m_gone = false;
};

wire::Response Problem(int status, const std::string& reason) {
  return {
      status,
      {{"content-type", "application/problem+json"}, {"x-outcome", "refused"}},
      "{\"outcome\":\"refused\",\"ran\":false,\"title\":\"" + reason + "\"}\n"};
}

/// What a request that could not be read is told.
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

Awaitable<void> ServeConnection(tcp::socket socket,
                                ServerLimits limits,
                                wire::Handler handler) {
  beast::error_code ignored;
  const auto remote = socket.remote_endpoint(ignored);
  const std::string peer =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (true) {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(limits.m_max_header);
    parser.body_limit(limits.m_max_body);
    stream.expires_after(limits.m_idle);
    beast::error_code error;
    co_await bhttp::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      if (IsBadInput(error)) {
        LogLine("bad_request")
            .With("peer", peer)
            .With("reason", error.message())
            .Warn();
        Http1Writer writer(stream, limits.m_idle, false);
        co_await writer.Send(ProblemFor(error));
      }
      co_return;
    }
    const auto& message = parser.get();
    wire::Request request;
    request.m_method = std::string(message.method_string());
    request.m_path = std::string(message.target());
    for (const auto& field : message)
      request.m_headers[LowerCase(field.name_string())] =
          std::string(field.value());
    request.m_body = std::move(parser.get().body());
    request.m_peer = peer;
    Http1Writer writer(stream, limits.m_idle, message.keep_alive());
    stream.expires_never();
    co_await handler(request, writer);
    if (!writer.finished() || !message.keep_alive())
      co_return;
  }
}

}  // namespace

Server::Server(IoThreads& threads, ServerLimits limits, wire::Handler handler)
    : m_listener(threads,
                 [limits, handler = std::move(handler)](tcp::socket socket) {
                   const auto executor = socket.get_executor();
                   asio::co_spawn(
                       executor,
                       ServeConnection(std::move(socket), limits, handler),
                       asio::detached);
                 }) {}

}  // namespace verbenalead::http
