#ifndef VERBENALEAD_DAEMON_CREDENTIALS_H_
#define VERBENALEAD_DAEMON_CREDENTIALS_H_

#include <optional>

#include "backends/signing_key.h"
#include "base/settings.h"

namespace verbenalead::daemon {

/// Loads the signing key from the file that the setting
/// platform.credentials_file names; nullopt if the setting is empty. Throws
/// std::runtime_error if the file can't be read or is malformed, so that a
/// daemon does not start whose every request to the platform would be refused.
std::optional<backends::SigningKey> LoadPlatformCredentials(
    const Settings& settings);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CREDENTIALS_H_
