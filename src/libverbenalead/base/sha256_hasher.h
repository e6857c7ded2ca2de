#ifndef VERBENALEAD_BASE_SHA256_HASHER_H_
#define VERBENALEAD_BASE_SHA256_HASHER_H_

#include <memory>
#include <string_view>

#include "base/digest.h"

namespace verbenalead {

/// Computes a SHA-256 digest incrementally from bytes that arrive in pieces.
/// Not thread-safe.
class Sha256Hasher {
 public:
  Sha256Hasher();
  ~Sha256Hasher();
  Sha256Hasher(Sha256Hasher&&) noexcept;
  Sha256Hasher& operator=(Sha256Hasher&&) noexcept;

  void Update(std::string_view bytes);
  /// Returns the digest of all bytes passed to Update(). The hasher must not be
  /// used afterwards.
  Digest Finish();

 private:
  struct Context;
  std::unique_ptr<Context> m_context;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SHA256_HASHER_H_
