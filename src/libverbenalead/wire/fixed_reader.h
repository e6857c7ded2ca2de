#ifndef VERBENALEAD_WIRE_FIXED_READER_H_
#define VERBENALEAD_WIRE_FIXED_READER_H_

#include <optional>
#include <string>
#include <utility>

#include "wire/response_reader.h"

namespace verbenalead::wire {

/// A ResponseReader for tests that returns a given response immediately.
class FixedReader : public ResponseReader {
 public:
  explicit FixedReader(Response response) : m_response(std::move(response)) {}

  Awaitable<AsyncResult<ResponseHead>> ReadHead(TimePoint) override {
    co_return ResponseHead(m_response.m_status, m_response.m_headers);
  }
  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint) override {
    if (m_response.m_body.empty())
      co_return std::optional<std::string>();
    std::string body;
    body.swap(m_response.m_body);
    co_return std::optional<std::string>(std::move(body));
  }
  const Headers& trailers() const override { return m_trailers; }

 private:
  Response m_response;
  Headers m_trailers;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_FIXED_READER_H_
