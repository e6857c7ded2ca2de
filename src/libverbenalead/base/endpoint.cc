#include "base/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace verbenalead {
namespace {

boost::leaf::error_id BadEndpoint(std::string_view text) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, "parse address", "",
              "'" + std::string(text) +
                  "' is not an IP number and port such as 127.0.0.1:7001"});
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool v6 = endpoint.address().find(':') != std::string::npos;
  std::string host = v6 ? "[" + endpoint.address() + "]" : endpoint.address();
  return host + ":" + std::to_string(endpoint.port());
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return BadEndpoint(text);
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code bad_address;
  boost::asio::ip::make_address(std::string(host), bad_address);
  if (code != std::errc() || end != digits.data() + digits.size() ||
      bad_address)
    return BadEndpoint(text);
  return Endpoint(std::string(host), port);
}

}  // namespace verbenalead
