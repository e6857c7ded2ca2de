#ifndef VERBENALEAD_TARGET_STAGING_ENGINE_H_
#define VERBENALEAD_TARGET_STAGING_ENGINE_H_

#include <map>
#include <optional>
#include <string>

#include "wire/client.h"

namespace verbenalead::target {

/// Stands for an engine's staging area in tests.
class StagingEngine : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint, wire::Request request, TimePoint) override {
    if (m_down)
      co_return Failure{FailureCode::kUnreachable, "connect", "engine", "down"};
    const std::string chunk =
        request.m_path.substr(request.m_path.find("num=") + 4);
    wire::Response response;
    if (request.m_method == "PUT") {
      m_chunks[chunk] = request.m_body;
      ++m_puts;
    } else if (m_chunks.contains(chunk)) {
      response.m_body = m_chunks[chunk];
    } else {
      response.m_status = 404;
    }
    co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
        std::make_unique<Reader>(std::move(response)));
  }

  /// By chunk number.
  std::map<std::string, std::string> m_chunks;
  int m_puts = 0;
  bool m_down = false;

 private:
  class Reader : public wire::ResponseReader {
   public:
    explicit Reader(wire::Response response)
        : m_response(std::move(response)) {}

    Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(TimePoint) override {
      co_return wire::ResponseHead(m_response.m_status, {});
    }
    Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
        TimePoint) override {
      if (m_response.m_body.empty())
        co_return std::optional<std::string>();
      std::string body;
      body.swap(m_response.m_body);
      co_return std::optional<std::string>(std::move(body));
    }
    const wire::Headers& trailers() const override { return m_trailers; }

   private:
    wire::Response m_response;
    wire::Headers m_trailers;
  };
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_STAGING_ENGINE_H_
