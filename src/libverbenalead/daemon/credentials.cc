#include "daemon/credentials.h"

#include "base/catch_failure.h"

namespace verbenalead::daemon {

std::optional<platform::SigningKey> CredentialsIn(const Settings& settings) {
  const std::string& path = settings.Text("platform.credentials_file");
  if (path.empty())
    return std::nullopt;
  return CatchFailure([&] { return platform::LoadSigningKey(path); }).value();
}

}  // namespace verbenalead::daemon
