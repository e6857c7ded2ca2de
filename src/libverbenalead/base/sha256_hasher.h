#ifndef VERBENALEAD_BASE_SHA256_HASHER_H_
#define VERBENALEAD_BASE_SHA256_HASHER_H_

#include <memory>
#include <string_view>

#include "base/digest.h"

namespace verbenalead {

/// A running SHA-256 for bytes that arrive in pieces. Not for use from several
/// threads at once.
class Sha256Hasher {
 public:
  Sha256Hasher();
  ~Sha256Hasher();
  Sha256Hasher(Sha256Hasher&&) noexcept;
  Sha256Hasher& operator=(Sha256Hasher&&) noexcept;

  void Update(std::string_view bytes);
  /// The digest of all bytes so far. The hasher is used up.
  Digest Finish();

 private:
  struct Context;
  std::unique_ptr<Context> m_context;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SHA256_HASHER_H_
