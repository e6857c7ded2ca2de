#ifndef VERBENALEAD_BASE_BASE64_H_
#define VERBENALEAD_BASE_BASE64_H_

#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// Encodes `bytes` as Base64 with padding (RFC 4648).
std::string EncodeBase64(std::string_view bytes);
/// Decodes the output of EncodeBase64. Fails with kInvalid on any other text.
Result<std::string> DecodeBase64(std::string_view text);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_BASE64_H_
