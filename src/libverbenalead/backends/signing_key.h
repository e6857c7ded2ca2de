#ifndef VERBENALEAD_BACKENDS_SIGNING_KEY_H_
#define VERBENALEAD_BACKENDS_SIGNING_KEY_H_

#include <compare>
#include <string>

#include "base/failure.h"

namespace verbenalead::backends {

/// The credentials of this process for the platform's services.
struct SigningKey {
  std::string m_access_key;
  std::string m_secret;
  /// Region name as the services define it, e.g. "us-east-1"; it is part of the
  /// signature.
  std::string m_service_region;

  friend auto operator<=>(const SigningKey&, const SigningKey&) = default;
};

/// Reads {"access_key": ..., "secret": ..., "region": ...} from the file at
/// `path`. Fails with kNotFound or kInvalid; the reason never contains the
/// secret.
Result<SigningKey> LoadSigningKey(const std::string& path);

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_SIGNING_KEY_H_
