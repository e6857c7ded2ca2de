#ifndef VERBENALEAD_TARGET_STAGING_ENGINE_H_
#define VERBENALEAD_TARGET_STAGING_ENGINE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "base/sleep.h"
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
      m_most_open_reads = std::max(m_most_open_reads, ++m_open_reads);
      if (m_read_time > Duration())
        co_await Sleep(m_read_time);
      --m_open_reads;
      if (++m_reads == m_fails_at_read)
        co_return Failure{FailureCode::kBroken, "read", "engine", "closed"};
      response.m_body = m_chunks[chunk];
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
  /// Time after which a read is answered.
  Duration m_read_time{};
  /// The read of this number, from 1 on, fails; 0: none.
  int m_fails_at_read = 0;
  int m_open_reads = 0;
  /// The largest number of reads that were under way at the same time.
  int m_most_open_reads = 0;
  /// Connections fail.
  bool m_unreachable = false;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_STAGING_ENGINE_H_
