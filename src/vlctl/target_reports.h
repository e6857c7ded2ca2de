#ifndef VERBENALEAD_VLCTL_TARGET_REPORTS_H_
#define VERBENALEAD_VLCTL_TARGET_REPORTS_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "model/target_report.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {

/// Reads the status of the entry into `status`, and appends the reports of the
/// targets of `pool` (empty: of all pools) to `targets`. Reports that cannot be
/// parsed are skipped.
ExitCode ReadTargets(const CommandContext& context,
                     const std::string& pool,
                     boost::json::object& status,
                     std::vector<model::TargetReport>& targets);

/// The label that tables show for the target: whether it accepts requests.
std::string StateLabel(const model::TargetReport& report);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_TARGET_REPORTS_H_
