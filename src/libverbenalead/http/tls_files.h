#ifndef VERBENALEAD_HTTP_TLS_FILES_H_
#define VERBENALEAD_HTTP_TLS_FILES_H_

#include <string>

namespace verbenalead::http {

/// Where a server's certificate is, and the oldest TLS that it speaks.
struct TlsFiles {
  /// The certificate and those that vouch for it, PEM.
  std::string m_certificate;
  /// Its private key, PEM.
  std::string m_key;
  /// "1.2" or "1.3".
  std::string m_min_version = "1.2";

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_TLS_FILES_H_
