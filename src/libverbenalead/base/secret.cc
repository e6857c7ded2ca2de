#include "base/secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <fstream>

#include "base/digest.h"

namespace verbenalead {
namespace {

constexpr size_t kMinSecretLength = 16;
constexpr char kHexDigits[] = "0123456789abcdef";

}  // namespace

std::string HmacSha256(const std::string& key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += kHexDigits[mac[i] >> 4];
    hex += kHexDigits[mac[i] & 15];
  }
  return hex;
}

bool EqualSecrets(const std::string& one, const std::string& other) {
  return one.size() == other.size() &&
         CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

AsyncResult<std::vector<std::string>> ReadSecrets(const std::string& path) {
  std::ifstream file(path);
  std::vector<std::string> secrets;
  for (std::string line; std::getline(file, line);) {
    if (line.empty())
      continue;
    if (line.size() < kMinSecretLength) {
      return Failure{FailureCode::kInvalid, "read secrets", path,
                     "a line is shorter than 16 characters"};
    }
    secrets.push_back(line);
  }
  if (secrets.empty()) {
    return Failure{FailureCode::kInvalid, "read secrets", path,
                   "the file can't be read or is empty"};
  }
  return secrets;
}

}  // namespace verbenalead
