#ifndef VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_
#define VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_

#include <string>

#include "vlctl/commands.h"

namespace verbenalead::vlctl {

/// Prints the progress of each host of `pool`, and how many bytes of weights
/// came from the origin and from other hosts.
ExitCode RolloutStatus(const CommandContext& context, const std::string& pool);
/// Pauses or resumes the rollout of `pool`. While it is paused, no further host
/// that serves calls starts to load the new version. Resuming also retries a
/// rollout that stopped because a load failed.
ExitCode RolloutPause(const CommandContext& context,
                      const std::string& pool,
                      bool paused);
/// Rolls `pool` back by declaring an earlier version as a new revision:
/// `version` or, if that is empty, the most recent different version in the
/// history of changes that the entry retains.
ExitCode RolloutUndo(const CommandContext& context,
                     const std::string& pool,
                     const std::string& version);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_ROLLOUT_COMMANDS_H_
