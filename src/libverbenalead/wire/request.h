#ifndef VERBENALEAD_WIRE_REQUEST_H_
#define VERBENALEAD_WIRE_REQUEST_H_

#include <string>

#include "wire/headers.h"

namespace verbenalead::wire {

/// Priority of a stream among the streams of one connection: chunks of weights
/// (kBulk) yield to live requests.
enum class Priority { kLive, kBulk };

/// A complete request, the same for HTTP/1.1 and HTTP/2.
struct Request {
  // Keeps Request from being an aggregate: GCC 12 destroys an aggregate
  // temporary twice inside a co_await expression.
  Request() {}

  std::string m_method = "GET";
  std::string m_path = "/";
  Headers m_headers;
  std::string m_body;
  Priority m_priority = Priority::kLive;
  /// Address (IP:port) of the sender; set on the receiving side.
  std::string m_peer;
};

/// Returns the path of `request` without its query.
std::string PathOf(const Request& request);
/// Returns the value of `name` in the query of `request`, or "" if absent.
std::string QueryValue(const Request& request, const std::string& name);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_REQUEST_H_
