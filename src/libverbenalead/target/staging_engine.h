#ifndef VERBENALEAD_TARGET_STAGING_ENGINE_H_
#define VERBENALEAD_TARGET_STAGING_ENGINE_H_

#include <map>
#include <optional>
#include <string>

#include "wire/client.h"
#include "wire/fixed_reader.h"

namespace verbenalead::target {

/// Simulates an engine's staging area in tests.
class StagingEngine : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint, wire::Request request, TimePoint) override {
    if (m_unreachable)
      co_return Failure{FailureCode::kUnreachable, "connect", "engine", "down"};
    const std::string chunk =
        request.m_path.substr(request.m_path.find("num=") + 4);
    wire::Response response;
    if (request.m_method == "PUT") {
      m_chunks[chunk] = request.m_body;
      ++m_puts;
    } else if (m_chunks.contains(chunk)) {
      response.m_body = m_chunks[chunk];
      ++m_reads;
    } else {
      response.m_status = 404;
    }
    co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
        std::make_unique<wire::FixedReader>(std::move(response)));
  }

  /// Staged bytes by chunk number.
  std::map<std::string, std::string> m_chunks;
  int m_puts = 0;
  int m_reads = 0;
  /// Connections fail.
  bool m_unreachable = false;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_STAGING_ENGINE_H_
