#ifndef VERBENALEAD_BASE_DEFLATE_H_
#define VERBENALEAD_BASE_DEFLATE_H_

#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// `bytes` compressed, as a raw deflate stream (RFC 1951).
std::string Deflate(std::string_view bytes);

/// What Deflate compressed. Fails with kCorrupt where `bytes` is no whole
/// deflate stream, with kInvalid where it is longer than `most` bytes.
Result<std::string> Inflate(std::string_view bytes, size_t max_bytes);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_DEFLATE_H_
