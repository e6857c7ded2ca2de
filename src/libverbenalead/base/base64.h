#ifndef VERBENALEAD_BASE_BASE64_H_
#define VERBENALEAD_BASE_BASE64_H_

#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// Base64 with padding (RFC 4648).
std::string EncodeBase64(std::string_view bytes);
/// Reads what EncodeBase64 writes. Fails with kInvalid on anything else.
Result<std::string> DecodeBase64(std::string_view text);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_BASE64_H_
