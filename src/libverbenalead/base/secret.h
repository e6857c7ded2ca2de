#ifndef VERBENALEAD_BASE_SECRET_H_
#define VERBENALEAD_BASE_SECRET_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"

namespace verbenalead {

/// Returns the HMAC-SHA256 of `text` under `key` as 64 lower-case hexadecimal
/// digits.
std::string HmacSha256(const std::string& key, std::string_view text);

/// Compares two secrets in constant time: the duration does not depend on where
/// the texts differ. Otherwise an attacker could guess a secret byte by byte by
/// measuring response times.
bool EqualSecrets(const std::string& one, const std::string& other);

/// Reads the secrets from the file at `path`, one per line, the newest first.
/// Fails if the file has no secret or one shorter than 16 characters.
AsyncResult<std::vector<std::string>> ReadSecrets(const std::string& path);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SECRET_H_
