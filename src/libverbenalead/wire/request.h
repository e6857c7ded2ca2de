#ifndef VERBENALEAD_WIRE_REQUEST_H_
#define VERBENALEAD_WIRE_REQUEST_H_

#include <string>

#include "wire/headers.h"

namespace verbenalead::wire {

/// How a stream shares a connection with others: chunks of weights yield to
/// live requests.
enum class Priority { kLive, kBulk };

/// A whole request, over HTTP/1.1 or HTTP/2 alike.
struct Request {
  // No aggregate, for the reason given at ResponseHead.
  Request() {}

  std::string m_method = "GET";
  std::string m_path = "/";
  Headers m_headers;
  std::string m_body;
  Priority m_priority = Priority::kLive;
  /// The IP:port of the sender; set on the receiving side.
  std::string m_peer;
};

/// The path of `request` without its query.
std::string PathOf(const Request& request);
/// The value of `name` in the query of `request`, or "" where it is absent.
std::string QueryValue(const Request& request, const std::string& name);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_REQUEST_H_
