#ifndef VERBENALEAD_BASE_DEFLATE_H_
#define VERBENALEAD_BASE_DEFLATE_H_

#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// Compresses `bytes` to a raw deflate stream (RFC 1951).
std::string Deflate(std::string_view bytes);

/// Decompresses the output of Deflate. Fails with kCorrupt if `bytes` is not a
/// complete deflate stream, and with kInvalid if the decompressed output is
/// longer than `max_bytes`.
Result<std::string> Inflate(std::string_view bytes, size_t max_bytes);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_DEFLATE_H_
