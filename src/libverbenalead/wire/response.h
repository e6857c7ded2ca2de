#ifndef VERBENALEAD_WIRE_RESPONSE_H_
#define VERBENALEAD_WIRE_RESPONSE_H_

#include <string>
#include <utility>

#include "wire/headers.h"

namespace verbenalead::wire {

/// Status and header fields, before any body.
struct ResponseHead {
  // The constructors keep ResponseHead from being an aggregate: GCC 12 destroys
  // an aggregate temporary twice inside a co_await expression.
  ResponseHead() = default;
  ResponseHead(int status, Headers headers)
      : m_status(status), m_headers(std::move(headers)) {}

  int m_status = 200;
  Headers m_headers;
};

/// A complete response.
struct Response {
  Response() = default;
  Response(int status, Headers headers, std::string body)
      : m_status(status),
        m_headers(std::move(headers)),
        m_body(std::move(body)) {}

  int m_status = 200;
  Headers m_headers;
  std::string m_body;
};

/// Returns a response with the JSON document `body`.
inline Response JsonResponse(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RESPONSE_H_
