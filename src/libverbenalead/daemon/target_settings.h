#ifndef VERBENALEAD_DAEMON_TARGET_SETTINGS_H_
#define VERBENALEAD_DAEMON_TARGET_SETTINGS_H_

#include "base/settings_schema.h"

namespace verbenalead::daemon {

/// Returns the schema of vltarget's settings.
SettingsSchema TargetSettings();

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_SETTINGS_H_
