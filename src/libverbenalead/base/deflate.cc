#include "base/deflate.h"

#include <zlib.h>

namespace verbenalead {
namespace {

/// A low compression level: it gives most of the size reduction of the highest
/// level in a tenth of the time.
constexpr int kLevel = 3;
/// A negative value selects a raw stream without zlib's header and checksum.
constexpr int kWindowBits = -15;
constexpr int kMemoryLevel = 8;
constexpr size_t kOutputBlockBytes = 65536;

Bytef* Input(std::string_view bytes) {
  // zlib does not modify its input, although next_in is not const.
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

/// Extends `out` by one block and points the stream at the new space.
void Grow(z_stream& stream, std::string& out) {
  out.resize(stream.total_out + kOutputBlockBytes);
  stream.next_out = reinterpret_cast<Bytef*>(out.data() + stream.total_out);
  stream.avail_out = kOutputBlockBytes;
}

}  // namespace

std::string Deflate(std::string_view bytes) {
  z_stream stream{};
  deflateInit2(&stream, kLevel, Z_DEFLATED, kWindowBits, kMemoryLevel,
               Z_DEFAULT_STRATEGY);
  stream.next_in = Input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  do {
    Grow(stream, out);
  } while (deflate(&stream, Z_FINISH) == Z_OK);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

Result<std::string> Inflate(std::string_view bytes, size_t max_bytes) {
  constexpr char kStep[] = "inflate";
  z_stream stream{};
  inflateInit2(&stream, kWindowBits);
  stream.next_in = Input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int status = Z_OK;
  while (status == Z_OK && stream.total_out <= max_bytes) {
    Grow(stream, out);
    status = inflate(&stream, Z_SYNC_FLUSH);
  }
  out.resize(stream.total_out);
  inflateEnd(&stream);
  if (out.size() > max_bytes) {
    return boost::leaf::new_error(
        Failure{FailureCode::kInvalid, kStep, "", "longer than allowed"});
  }
  if (status != Z_STREAM_END) {
    return boost::leaf::new_error(
        Failure{FailureCode::kCorrupt, kStep, "", "no whole stream"});
  }
  return out;
}

}  // namespace verbenalead
