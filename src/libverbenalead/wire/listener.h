#ifndef VERBENALEAD_WIRE_LISTENER_H_
#define VERBENALEAD_WIRE_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/failure.h"
#include "base/io_threads.h"

namespace verbenalead::wire {

/// Accepts TCP connections and distributes them over the I/O threads in
/// round-robin order. The HTTP/1.1 and HTTP/2 servers use it.
class Listener {
 public:
  using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

  /// `on_connection` runs on the thread to which the socket is assigned.
  Listener(IoThreads& threads, OnConnection on_connection);
  ~Listener();

  /// Starts listening; port 0 selects a free port. Returns the bound address.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint);
  /// Stops accepting connections; open ones are not affected. Thread-safe.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_LISTENER_H_
