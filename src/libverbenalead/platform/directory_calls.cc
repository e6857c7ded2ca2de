#include "platform/directory_calls.h"

#include <boost/json.hpp>

namespace verbenalead::platform {

DirectoryRequest DecodeDirectoryRequest(const wire::Request& request) {
  return {wire::QueryValue(request, "name"), wire::QueryValue(request, "zone"),
          wire::QueryValue(request, "region")};
}

wire::Response EncodeAddresses(const std::vector<Endpoint>& addresses,
                               Duration valid_for) {
  boost::json::array list;
  for (const Endpoint& address : addresses)
    list.emplace_back(ToString(address));
  const boost::json::object body = {
      {"addresses", std::move(list)},
      {"ttl_s", std::chrono::duration<double>(valid_for).count()}};
  return wire::JsonResponse(200, boost::json::serialize(body));
}

}  // namespace verbenalead::platform
