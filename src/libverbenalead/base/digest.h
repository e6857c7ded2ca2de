#ifndef VERBENALEAD_BASE_DIGEST_H_
#define VERBENALEAD_BASE_DIGEST_H_

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// A SHA-256 digest. Weights are identified by their digest, never by a name:
/// the same name may be declared again with other bytes.
class Digest {
 public:
  static constexpr size_t kBytes = 32;

  Digest() = default;
  explicit Digest(const std::array<uint8_t, kBytes>& bytes) : m_bytes(bytes) {}

  const std::array<uint8_t, kBytes>& bytes() const { return m_bytes; }
  /// Whether this is the all-zero digest, which means "no digest".
  bool empty() const { return *this == Digest(); }

  friend auto operator<=>(const Digest&, const Digest&) = default;

 private:
  std::array<uint8_t, kBytes> m_bytes{};
};

/// Formats `digest` as 64 lower-case hexadecimal characters.
std::string ToString(const Digest& digest);

/// Parses the output of ToString. Fails with kInvalid on any other text.
Result<Digest> ParseDigest(std::string_view hex);

Digest Sha256(std::string_view bytes);

}  // namespace verbenalead

template <>
struct std::hash<verbenalead::Digest> {
  size_t operator()(const verbenalead::Digest& digest) const noexcept {
    size_t value = 0;
    for (size_t i = 0; i < sizeof(value); ++i)
      value = value << 8 | digest.bytes()[i];
    return value;
  }
};

#endif  // VERBENALEAD_BASE_DIGEST_H_
