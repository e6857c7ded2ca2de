#include "http/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <optional>

namespace verbenalead::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Bytes after which the server gives up; a client that holds its limits takes
/// far less.
constexpr size_t kEnough = size_t{64} << 20;

/// What a server sends: a beginning, and a piece that it repeats without end.
struct Bytes {
  std::string m_begin;
  std::string m_repeated;
};

const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string kFinal =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Stamp: s\r\n\r\nbody";
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(InterimAnswersAreSkipped);
  CPPUNIT_TEST(InterimAnswersWithoutEndAreNoAnswer);
  CPPUNIT_TEST(StatusThatHttpDoesNotHaveIsNoAnswer);
  CPPUNIT_TEST(BytesWithoutEndAreNoAnswer);
  CPPUNIT_TEST(ABodyThatNeverPausesEndsAtItsDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against 103 being passed on as the final answer.
  void InterimAnswersAreSkipped() {
    for (const std::string& interim :
         {std::string(), kInterim, kInterim + kInterim,
          std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
      const auto response = Fetch({interim + kFinal, ""});
      CPPUNIT_ASSERT(response);
      CPPUNIT_ASSERT_EQUAL(200, response->m_status);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), response->m_body);
      CPPUNIT_ASSERT_EQUAL(std::string("s"),
                           wire::Get(response->m_headers, "x-stamp"));
      CPPUNIT_ASSERT(!response->m_headers.contains("link"));
    }
  }

  // Guards against callers that wait beyond their time-out.
  void InterimAnswersWithoutEndAreNoAnswer() {
    const auto response = Fetch({"", "HTTP/1.1 100 Continue\r\n\r\n"});
    CPPUNIT_ASSERT(!response);
    CPPUNIT_ASSERT(response.error().m_code == FailureCode::kCorrupt);
  }

  // Guards against status 000, or the answer after it, passed on to the caller.
  void StatusThatHttpDoesNotHaveIsNoAnswer() {
    for (const std::string status :
         {"000", "001", "099", "101", "600", "999"}) {
      for (const std::string& rest :
           {"Content-Length: 0\r\n\r\n" + kFinal, "\r\n" + kFinal,
            std::string("Content-Length: 4\r\n\r\nbody")}) {
        const auto response =
            Fetch({"HTTP/1.1 " + status + " X\r\nX-Stamp: s\r\n" + rest, ""});
        CPPUNIT_ASSERT_MESSAGE(status, !response);
        CPPUNIT_ASSERT(response.error().m_code == FailureCode::kCorrupt);
      }
    }
  }

  // Guards against a process that runs out of memory.
  void BytesWithoutEndAreNoAnswer() {
    const std::string filler(16384, 'x');
    for (const Bytes& bytes :
         {Bytes{"HTTP/1.1 200 OK\r\na: ", filler},
          Bytes{"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
          Bytes{kChunkedHead + "5;", filler},
          Bytes{kChunkedHead + "0\r\n", "a: b\r\n"},
          Bytes{"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
                filler},
          Bytes{kChunkedHead, "4000\r\n" + filler + "\r\n"},
          Bytes{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler}}) {
      const auto response = Fetch(bytes);
      CPPUNIT_ASSERT(!response);
      CPPUNIT_ASSERT(response.error().m_code == FailureCode::kCorrupt ||
                     response.error().m_code == FailureCode::kInvalid);
    }
  }

  // Guards against a call beyond its time-out: bytes are there at each read, so
  // the timer never ends one.
  void ABodyThatNeverPausesEndsAtItsDeadline() {
    m_deadline = Now() + 50ms;
    m_max_body = std::numeric_limits<size_t>::max();
    const auto response = Fetch({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                 std::string(512, 'x')});
    CPPUNIT_ASSERT(!response);
    CPPUNIT_ASSERT(response.error().m_code == FailureCode::kTimeout);
  }

 private:
  /// Requests something from a server that sends `bytes`.
  AsyncResult<wire::Response> Fetch(const Bytes& bytes) {
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const Endpoint endpoint("127.0.0.1", acceptor.local_endpoint().port());
    Client client;
    std::optional<AsyncResult<wire::Response>> response;
    asio::co_spawn(io, Serve(acceptor, bytes), asio::detached);
    asio::co_spawn(io, Call(client, endpoint, response), asio::detached);
    while (!response)
      io.run_one();
    return std::move(*response);
  }

  static Awaitable<void> Serve(tcp::acceptor& acceptor, const Bytes& bytes) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_write(
        socket, asio::buffer(bytes.m_begin),
        asio::redirect_error(asio::use_awaitable, error));
    size_t sent = 0;
    while (!error && !bytes.m_repeated.empty() && sent < kEnough) {
      sent += co_await asio::async_write(
          socket, asio::buffer(bytes.m_repeated),
          asio::redirect_error(asio::use_awaitable, error));
    }
    // Keeps the connection open until the client closes it.
    char byte = 0;
    while (!error) {
      co_await socket.async_read_some(
          asio::buffer(&byte, 1),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  Awaitable<void> Call(Client& client,
                       Endpoint endpoint,
                       std::optional<AsyncResult<wire::Response>>& response) {
    response = co_await wire::Fetch(client, endpoint, wire::Request(),
                                    m_deadline, m_max_body);
  }

  TimePoint m_deadline = Now() + std::chrono::seconds(30);
  size_t m_max_body = size_t{1} << 20;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace verbenalead::http
