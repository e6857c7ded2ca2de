#include "peer/server.h"

namespace verbenalead::peer {

Server::Server(IoThreads& threads, SessionLimits limits, wire::Handler handler)
    : m_listener(threads,
                 [limits, handler = std::move(handler)](
                     boost::asio::ip::tcp::socket socket) {
                   Session::Accept(std::move(socket), limits, handler);
                 }) {}

}  // namespace verbenalead::peer
