#include "base/digest.h"

#include <boost/algorithm/hex.hpp>

#include "base/sha256_hasher.h"

namespace verbenalead {

std::string ToString(const Digest& digest) {
  std::string hex;
  boost::algorithm::hex_lower(digest.bytes().begin(), digest.bytes().end(),
                              std::back_inserter(hex));
  return hex;
}

Result<Digest> ParseDigest(std::string_view hex) {
  std::array<uint8_t, Digest::kBytes> bytes{};
  const bool valid =
      hex.size() == 2 * Digest::kBytes &&
      hex.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (!valid) {
    return boost::leaf::new_error(
        Failure{FailureCode::kInvalid, "parse digest", "",
                "a digest is 64 lower-case hexadecimal characters"});
  }
  boost::algorithm::unhex(hex.begin(), hex.end(), bytes.begin());
  return Digest(bytes);
}

Digest Sha256(std::string_view bytes) {
  Sha256Hasher hasher;
  hasher.Update(bytes);
  return hasher.Finish();
}

}  // namespace verbenalead
