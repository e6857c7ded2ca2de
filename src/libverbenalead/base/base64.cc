#include "base/base64.h"

#include <openssl/evp.h>

namespace verbenalead {
namespace {

constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupChars = 4;

size_t PaddingOf(std::string_view text) {
  size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=')
    ++padding;
  return padding;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  // EVP_EncodeBlock appends a terminating zero byte.
  std::string text(groups * kGroupChars + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

Result<std::string> DecodeBase64(std::string_view text) {
  std::string bytes(text.size() / kGroupChars * kGroupBytes, '\0');
  const int size =
      text.size() % kGroupChars != 0
          ? -1
          : EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                            reinterpret_cast<const unsigned char*>(text.data()),
                            static_cast<int>(text.size()));
  if (size < 0) {
    return boost::leaf::new_error(Failure{
        FailureCode::kInvalid, "decode base64", "", "the text is not base64"});
  }
  bytes.resize(static_cast<size_t>(size) - PaddingOf(text));
  return bytes;
}

}  // namespace verbenalead
