#ifndef VERBENALEAD_BASE_SECRET_H_
#define VERBENALEAD_BASE_SECRET_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"

namespace verbenalead {

/// HMAC-SHA256 of `text` under `key`, as 64 hexadecimal digits.
std::string HmacSha256(const std::string& key, std::string_view text);

/// Compares in a time that does not depend on where the texts differ: else a
/// guesser learns a secret byte by byte from how soon the answer comes.
bool EqualSecrets(const std::string& one, const std::string& other);

/// The secrets in the file at `path`, one a line; the first is the newest.
/// Fails if there is none or one is shorter than 16 characters.
AsyncResult<std::vector<std::string>> ReadSecrets(const std::string& path);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SECRET_H_
