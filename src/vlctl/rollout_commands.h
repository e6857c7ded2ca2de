#ifndef VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_
#define VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_

#include <string>

#include "vlctl/commands.h"

namespace verbenalead::vlctl {

/// Progress of each host of `pool`, and bytes by source.
ExitCode RolloutStatus(const Context& context, const std::string& pool);
/// Lets no further serving host begin to load, or goes on. Going on also begins
/// anew after a failed load.
ExitCode RolloutPause(const Context& context,
                      const std::string& pool,
                      bool paused);
/// Declares, as a new revision, the version that the pool had before: `version`
/// or, where that is empty, the last other one among the changes still known.
ExitCode RolloutUndo(const Context& context,
                     const std::string& pool,
                     const std::string& version);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_
