#include "daemon/forwarded_headers.h"

#include <iterator>
#include <set>
#include <string>

#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

/// Hop-by-hop fields, which apply to one connection only (RFC 9110, 7.6.1), and
/// fields that each hop sets itself.
const std::set<std::string>& HopByHopFields() {
  static const std::set<std::string> kFields = {
      "connection", "content-length",      "expect",
      "host",       "keep-alive",          "proxy-authenticate",
      "te",         "proxy-authorization", "trailer",
      "upgrade",    "transfer-encoding",   "proxy-connection"};
  return kFields;
}

/// Fields in which entries and targets describe an attempt. If they were
/// forwarded, a caller or a back end could forge them.
const std::set<std::string>& InternalFields() {
  static const std::set<std::string> kFields(std::begin(peer::kInternalFields),
                                             std::end(peer::kInternalFields));
  return kFields;
}

wire::Headers FilterHeaders(const wire::Headers& headers) {
  wire::Headers passed;
  for (const auto& [name, value] : headers) {
    if (!HopByHopFields().contains(name) && !InternalFields().contains(name))
      passed[name] = value;
  }
  return passed;
}

}  // namespace

wire::Headers ForwardedRequestHeaders(const wire::Headers& headers) {
  return FilterHeaders(headers);
}

wire::Headers ForwardedResponseHeaders(const wire::Headers& headers) {
  return FilterHeaders(headers);
}

}  // namespace verbenalead::daemon
