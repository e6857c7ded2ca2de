#include "daemon/entry_daemon.h"
#include "daemon/entry_settings.h"
#include "daemon/program.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  return daemon::RunProgram(
      argc, argv, "vlentry", "Serves callers and operators on an entry host.",
      daemon::EntrySettings(), [](const Settings& settings) {
        return daemon::EntryDaemon(settings).Run();
      });
}
