#include "daemon/entry_daemon.h"
#include "daemon/entry_settings.h"
#include "daemon/program.h"
#include "entry/entry_options.h"
#include "entry/platform_entry.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  const daemon::ProgramMode default_mode = {
      "", "", daemon::EntrySettings(), LogTarget::kStandardError,
      [](const Settings& settings) {
        return daemon::EntryDaemon(settings).Run();
      }};
  const daemon::ProgramMode platform = {
      "--platform", "run on the users' platform", entry::EntrySettings(),
      LogTarget::kStandardOutput, [](const Settings& settings) {
        return entry::PlatformEntry(settings).Run();
      }};
  return daemon::RunProgram(argc, argv, "vlentry",
                            "Serves callers and operators on an entry host.",
                            {default_mode, platform});
}
