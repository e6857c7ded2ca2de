#ifndef VERBENALEAD_DAEMON_ENTRY_SETTINGS_H_
#define VERBENALEAD_DAEMON_ENTRY_SETTINGS_H_

#include "base/settings_schema.h"

namespace verbenalead::daemon {

/// The settings of vlentry.
SettingsSchema EntrySettings();

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_SETTINGS_H_
