#include "base/sha256_hasher.h"

#include <openssl/evp.h>

#include <new>

namespace verbenalead {

struct Sha256Hasher::Context {
  Context() : m_evp(EVP_MD_CTX_new()) {
    if (m_evp == nullptr)
      throw std::bad_alloc();
    EVP_DigestInit_ex(m_evp, EVP_sha256(), nullptr);
  }
  ~Context() { EVP_MD_CTX_free(m_evp); }

  EVP_MD_CTX* m_evp;
};

Sha256Hasher::Sha256Hasher() : m_context(std::make_unique<Context>()) {}
Sha256Hasher::~Sha256Hasher() = default;
Sha256Hasher::Sha256Hasher(Sha256Hasher&&) noexcept = default;
Sha256Hasher& Sha256Hasher::operator=(Sha256Hasher&&) noexcept = default;

void Sha256Hasher::Update(std::string_view bytes) {
  EVP_DigestUpdate(m_context->m_evp, bytes.data(), bytes.size());
}

Digest Sha256Hasher::Finish() {
  std::array<uint8_t, Digest::kBytes> bytes{};
  EVP_DigestFinal_ex(m_context->m_evp, bytes.data(), nullptr);
  return Digest(bytes);
}

}  // namespace verbenalead
