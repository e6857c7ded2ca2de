#include "target/chunk_paths.h"

#include <sstream>

#include "base/catch_failure.h"
#include "wire/request_target.h"

namespace verbenalead::target {

std::vector<Digest> ParseDigests(const std::string& text) {
  std::vector<Digest> digests;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    auto digest = CatchFailure([&] { return ParseDigest(line); });
    if (!digest)
      return {};
    digests.push_back(*digest);
  }
  return digests;
}

std::string DigestsPath(const std::string& model, uint64_t version) {
  return wire::RequestTarget("/v1/digests")
      .Segment(model)
      .Segment(version)
      .Build();
}

std::string FormatDigests(const CachedVersion& version) {
  std::string text;
  for (const CachedVersion::Chunk& chunk : version.m_chunks)
    text += ToString(chunk.m_digest) + "\n";
  return text;
}

std::string ChunkPath(const std::string& model,
                      uint64_t version,
                      uint32_t chunk) {
  return wire::RequestTarget("/v1/weights")
      .Segment(model)
      .Segment(version)
      .Segment(chunk)
      .Build();
}

}  // namespace verbenalead::target
