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
  /// The option that chooses it, such as "--platform"; empty: the default.
  std::string m_option;
  std::string m_help;
  SettingsSchema m_schema;
  LogTarget m_log = LogTarget::kStandardError;
  std::function<int(const Settings&)> m_run;
};

/// The command line that all daemons and stand-ins share: `-s FILE` for the
/// settings, `--describe-settings`, `--check`. Parses it, loads the settings,
/// starts the log and runs the chosen mode. Returns the exit code: 0 fine, 1
/// could not run, 2 bad command line or settings, with one line on standard
/// error.
int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const std::vector<ProgramMode>& modes);

/// The same for a program with one mode.
int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const std::function<int(const Settings&)>& run);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_PROGRAM_H_
