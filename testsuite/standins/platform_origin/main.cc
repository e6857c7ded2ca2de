#include <cstdlib>
#include <string>

#include "base/digest.h"
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

/// Creates the handler. {"spoil": N} is its specific fault: it corrupts the
/// next N chunks.
wire::Handler MakeHandler(std::shared_ptr<standins::Faults> faults) {
  return [faults](const wire::Request& request,
                  wire::ResponseWriter& writer) -> Awaitable<void> {
    const uint64_t version = Number(request, "version");
    wire::Response response(404, {}, "");
    if (request.m_path.starts_with("/manifest/")) {
      response = wire::JsonResponse(200, Manifest(version));
    } else if (request.m_path.starts_with("/piece/")) {
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
