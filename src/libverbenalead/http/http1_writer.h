#ifndef VERBENALEAD_HTTP_HTTP1_WRITER_H_
#define VERBENALEAD_HTTP_HTTP1_WRITER_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <utility>

#include "base/time.h"
#include "wire/response_writer.h"

namespace verbenalead::http {

/// Writes one response to one HTTP/1.1 connection. `Stream` is a Beast TCP or
/// TLS stream.
template <typename Stream>
class Http1Writer : public wire::ResponseWriter {
 public:
  /// `idle` limits how long a write may make no progress. `keep_alive` is
  /// called when the response header is written, and returns whether the
  /// connection stays open.
  Http1Writer(Stream& stream, Duration idle, std::function<bool()> keep_alive)
      : m_stream(stream), m_idle(idle), m_keep_alive(std::move(keep_alive)) {}

  Awaitable<bool> Send(wire::Response response) override {
    if (m_disconnected)
      co_return false;
    boost::beast::http::response<boost::beast::http::string_body> message;
    Fill(message, response.m_status, response.m_headers);
    message.body() = std::move(response.m_body);
    message.prepare_payload();
    ExpectProgress();
    boost::beast::error_code error;
    co_await boost::beast::http::async_write(m_stream, message, Token(error));
    co_return Note(error, true);
  }

  Awaitable<bool> Start(wire::ResponseHead head) override {
    if (m_disconnected)
      co_return false;
    boost::beast::http::response<boost::beast::http::empty_body> message;
    Fill(message, head.m_status, head.m_headers);
    message.chunked(true);
    boost::beast::http::response_serializer<boost::beast::http::empty_body>
        serializer(message);
    ExpectProgress();
    boost::beast::error_code error;
    co_await boost::beast::http::async_write_header(m_stream, serializer,
                                                    Token(error));
    co_return Note(error, false);
  }

  Awaitable<bool> Write(std::string bytes) override {
    if (bytes.empty() || m_disconnected)
      co_return !m_disconnected;
    ExpectProgress();
    boost::beast::error_code error;
    co_await boost::asio::async_write(
        m_stream, boost::beast::http::make_chunk(boost::asio::buffer(bytes)),
        Token(error));
    co_return Note(error, false);
  }

  Awaitable<bool> Finish(wire::Headers trailers) override {
    if (m_disconnected)
      co_return false;
    boost::beast::http::fields fields;
    for (const auto& [name, value] : trailers)
      fields.set(name, value);
    ExpectProgress();
    boost::beast::error_code error;
    co_await boost::asio::async_write(
        m_stream, boost::beast::http::make_chunk_last(fields), Token(error));
    co_return Note(error, true);
  }

  bool disconnected() const override { return m_disconnected; }

  void OnDisconnect(std::function<void()> function) override {
    if (function && m_disconnected)
      function();
    else
      m_on_disconnect = std::move(function);
  }

  /// Records that the connection has ended and calls the function set by
  /// OnDisconnect().
  void RecordDisconnect() {
    m_disconnected = true;
    if (const auto on_disconnect = std::exchange(m_on_disconnect, nullptr))
      on_disconnect();
  }

  /// True if the whole response has been written.
  bool finished() const { return m_finished; }
  /// True if the response header announced that the connection stays open.
  bool kept_alive() const { return m_kept_alive; }

 private:
  template <typename Message>
  void Fill(Message& message, int status, const wire::Headers& headers) {
    message.result(static_cast<unsigned>(status));
    for (const auto& [name, value] : headers)
      message.set(name, value);
    m_kept_alive = m_keep_alive();
    message.keep_alive(m_kept_alive);
  }

  void ExpectProgress() {
    boost::beast::get_lowest_layer(m_stream).expires_after(m_idle);
  }

  static auto Token(boost::beast::error_code& error) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
  }

  bool Note(const boost::beast::error_code& error, bool finished) {
    boost::beast::get_lowest_layer(m_stream).expires_never();
    if (error)
      RecordDisconnect();
    else
      m_finished = finished;
    return !m_disconnected;
  }

  Stream& m_stream;
  const Duration m_idle;
  const std::function<bool()> m_keep_alive;
  std::function<void()> m_on_disconnect;
  bool m_kept_alive = false;
  bool m_finished = false;
  bool m_disconnected = false;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_HTTP1_WRITER_H_
