#ifndef VERBENALEAD_HTTP_TLS_FILES_H_
#define VERBENALEAD_HTTP_TLS_FILES_H_

#include <string>

namespace verbenalead::http {

/// Paths of a server's certificate and key, and the oldest TLS version that it
/// accepts.
struct TlsFiles {
  /// The certificate, followed by the certificates of its chain, PEM.
  std::string m_certificate;
  /// Its private key, PEM.
  std::string m_key;
  /// "1.2" or "1.3".
  std::string m_min_version = "1.2";

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_TLS_FILES_H_
