#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>

#include "base/digest.h"
#include "base/sleep.h"
#include "standins/common/run_standin.h"
#include "standins/common/weights_pattern.h"

namespace {

using namespace verbenalead;
using standins::kPatternChunks;
using standins::PatternChunk;

uint64_t Number(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

std::string Manifest(uint64_t version) {
  std::string digests;
  for (uint32_t chunk = 0; chunk < kPatternChunks; ++chunk) {
    digests += (chunk == 0 ? "\"" : ",\"") +
               ToString(Sha256(PatternChunk(version, chunk))) + "\"";
  }
  return "{\"version\":" + std::to_string(version) + ",\"digests\":[" +
         digests + "]}";
}

/// Waits for a chunk's turn on a link that sends one chunk in `chunk_time`.
Awaitable<void> WaitForLink(TimePoint& free_at, Duration chunk_time) {
  free_at = std::max(free_at, Now()) + chunk_time;
  co_await Sleep(free_at - Now());
}

/// Creates the handler. Its specific faults are {"spoil": N}, which corrupts
/// the next N chunks, {"no_chunks": true}, which refuses chunks, {"chunks": N},
/// which sends the next N of them nevertheless, and {"chunk_ms": N}, the time
/// of a chunk on the origin's link.
wire::Handler MakeHandler(std::shared_ptr<standins::Faults> faults) {
  auto free_at = std::make_shared<TimePoint>();
  return [faults, free_at](const wire::Request& request,
                           wire::ResponseWriter& writer) -> Awaitable<void> {
    const uint64_t version = Number(request, "version");
    wire::Response response(404, {}, "");
    if (request.m_path.starts_with("/manifest/")) {
      response = wire::JsonResponse(200, Manifest(version));
    } else if (request.m_path.starts_with("/piece/")) {
      if (faults->Flag("no_chunks") && !faults->TryConsume("chunks")) {
        co_await writer.Send(wire::Response(503, {}, ""));
        co_return;
      }
      const auto chunk_time =
          std::chrono::milliseconds(faults->Number("chunk_ms"));
      if (chunk_time > Duration())
        co_await WaitForLink(*free_at, chunk_time);
      const auto chunk = static_cast<uint32_t>(Number(request, "num"));
      std::string bytes = PatternChunk(version, chunk);
      if (faults->TryConsume("spoil"))
        bytes[0] = static_cast<char>(bytes[0] + 1);
      response = wire::Response(200, {}, std::move(bytes));
    }
    co_await writer.Send(std::move(response));
  };
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_platform_origin",
      "Stands in for the platform's origin of weights.",
      standins::StandinSettings(),
      [](const Settings&, std::shared_ptr<standins::Faults> faults) {
        return MakeHandler(std::move(faults));
      });
}
