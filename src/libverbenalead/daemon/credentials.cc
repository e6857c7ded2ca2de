#include "daemon/credentials.h"

#include "base/catch_failure.h"

namespace verbenalead::daemon {

std::optional<backends::SigningKey> LoadPlatformCredentials(
    const Settings& settings) {
  const std::string& path = settings.Text("platform.credentials_file");
  if (path.empty())
    return std::nullopt;
  return CatchFailure([&] { return backends::LoadSigningKey(path); }).value();
}

}  // namespace verbenalead::daemon
