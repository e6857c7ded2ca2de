#ifndef VERBENALEAD_BASE_ENDPOINT_H_
#define VERBENALEAD_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// An IP address and a port. Hosts connect to each other by IP address only, so
/// no host name is ever resolved.
class Endpoint {
 public:
  Endpoint() = default;
  Endpoint(std::string address, uint16_t port)
      : m_address(std::move(address)), m_port(port) {}

  const std::string& address() const { return m_address; }
  uint16_t port() const { return m_port; }
  bool empty() const { return m_address.empty(); }

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

 private:
  std::string m_address;
  uint16_t m_port = 0;
};

/// Formats `endpoint` as "10.0.0.3:7001", or as "[::1]:7001" for IPv6.
std::string ToString(const Endpoint& endpoint);

/// Parses the output of ToString. Fails with kInvalid on any other text.
Result<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_ENDPOINT_H_
