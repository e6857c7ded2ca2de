#ifndef VERBENALEAD_DAEMON_CREDENTIALS_H_
#define VERBENALEAD_DAEMON_CREDENTIALS_H_

#include <optional>

#include "backends/signing_key.h"
#include "base/settings.h"

namespace verbenalead::daemon {

/// The key in the file that the setting platform.credentials_file names;
/// nullopt where none is named. Throws std::runtime_error if the file is not as
/// it should be: a daemon whose every request would be refused must not start.
std::optional<backends::SigningKey> CredentialsIn(const Settings& settings);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CREDENTIALS_H_
