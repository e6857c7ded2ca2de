#ifndef VERBENALEAD_WIRE_LISTENER_H_
#define VERBENALEAD_WIRE_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/failure.h"
#include "base/io_threads.h"

namespace verbenalead::wire {

/// Accepts TCP connections and deals them out to the threads in turn. HTTP/1.1
/// and HTTP/2 servers stand on it.
class Listener {
 public:
  using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

  /// `on_connection` runs on the thread that the socket belongs to.
  Listener(IoThreads& threads, OnConnection on_connection);
  ~Listener();

  /// Starts listening; port 0 takes a free one. Returns the bound address.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint);
  /// Refuses new connections; open ones are left alone. From any thread.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_LISTENER_H_
