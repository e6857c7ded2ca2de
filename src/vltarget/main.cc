#include "base/large_blocks.h"
#include "daemon/program.h"
#include "daemon/target_daemon.h"
#include "daemon/target_settings.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  KeepLargeBlocks();
  return daemon::RunProgram(argc, argv, "vltarget",
                            "Serves one target host: weights, gate and engine.",
                            daemon::TargetSettings(),
                            [](const Settings& settings) {
                              return daemon::TargetDaemon(settings).Run();
                            });
}
