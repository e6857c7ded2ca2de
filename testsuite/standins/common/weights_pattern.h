#ifndef VERBENALEAD_STANDINS_COMMON_WEIGHTS_PATTERN_H_
#define VERBENALEAD_STANDINS_COMMON_WEIGHTS_PATTERN_H_

#include <cstdint>
#include <random>
#include <string>

namespace verbenalead::standins {

constexpr uint32_t kPatternChunks = 12;
constexpr size_t kPatternChunkBytes = 4096;

/// Generates the bytes of one chunk of the test weights. The origin and the
/// replicas both use it, so that a replica can detect a wrong chunk.
inline std::string PatternChunk(uint64_t version, uint32_t chunk) {
  std::mt19937_64 random(version * 1000 + chunk);
  std::string bytes(kPatternChunkBytes, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random());
  return bytes;
}

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_COMMON_WEIGHTS_PATTERN_H_
