#include "base/large_blocks.h"
#include "daemon/program.h"
#include "daemon/target_daemon.h"
#include "daemon/target_settings.h"
#include "target/platform_target.h"
#include "target/target_options.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  KeepLargeBlocks();
  const daemon::ProgramMode default_mode = {
      "", "", daemon::TargetSettings(), LogTarget::kStandardError,
      [](const Settings& settings) {
        return daemon::TargetDaemon(settings).Run();
      }};
  const daemon::ProgramMode platform = {
      "--platform", "run on the users' platform", target::TargetSettings(),
      LogTarget::kStandardOutput, [](const Settings& settings) {
        return target::PlatformTarget(settings).Run();
      }};
  return daemon::RunProgram(argc, argv, "vltarget",
                            "Serves one target host: weights, gate and engine.",
                            {default_mode, platform});
}
