#ifndef VERBENALEAD_DAEMON_COMMON_SETTINGS_H_
#define VERBENALEAD_DAEMON_COMMON_SETTINGS_H_

#include "base/settings_schema.h"

namespace verbenalead::daemon {

/// Returns the settings that vlentry and vltarget share. `threads` and
/// `journal_requests` are the defaults of the settings "threads" and
/// "journal.requests", which differ between the two programs.
SettingsSchema CommonSettings(int64_t threads, int64_t journal_requests);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_COMMON_SETTINGS_H_
