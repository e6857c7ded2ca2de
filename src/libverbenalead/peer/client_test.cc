#include "peer/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <thread>

namespace verbenalead::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(DeadlinePassesWhileProcessIsSuspendedInConnect);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A late timer handler must not use the socket of a connect that has ended.
  void DeadlinePassesWhileProcessIsSuspendedInConnect() {
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const Endpoint endpoint("127.0.0.1", acceptor.local_endpoint().port());
    Client client{SessionLimits{}};
    const TimePoint deadline = Now() + 20ms;
    std::optional<bool> opened;
    asio::co_spawn(io, Open(client, endpoint, deadline, opened),
                   asio::detached);
    // Runs after the connect has begun. The connection and the deadline are
    // both due when the event loop goes on.
    asio::post(io, [&] { std::this_thread::sleep_until(deadline); });
    while (!opened)
      io.run_one();
    io.poll();
    CPPUNIT_ASSERT(*opened);
  }

 private:
  static Awaitable<void> Open(Client& client,
                              Endpoint endpoint,
                              TimePoint deadline,
                              std::optional<bool>& opened) {
    const auto reader =
        co_await client.Open(endpoint, wire::Request(), deadline);
    opened = reader.has_value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace verbenalead::peer
