#ifndef VERBENALEAD_DAEMON_PROGRAM_H_
#define VERBENALEAD_DAEMON_PROGRAM_H_

#include <functional>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/settings_schema.h"

namespace verbenalead::daemon {

/// One way to run a program.
struct ProgramMode {
  /// The option that selects the mode, such as "--platform"; empty for the
  /// default mode.
  std::string m_option;
  std::string m_help;
  SettingsSchema m_schema;
  LogTarget m_log = LogTarget::kStandardError;
  std::function<int(const Settings&)> m_run;
};

/// Implements the command line that all daemons and simulated services share:
/// `-s FILE` for the settings, `--describe-settings`, `--check`. Parses it,
/// loads the settings, starts the log and runs the selected mode. Returns the
/// exit code: 0 on success, 1 if the program could not run, 2 on a bad command
/// line or bad settings. Errors are reported as one line on standard error.
int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const std::vector<ProgramMode>& modes);

/// As above, for a program with a single mode.
int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const std::function<int(const Settings&)>& run);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_PROGRAM_H_
