#ifndef VERBENALEAD_TARGET_TARGET_ROWS_H_
#define VERBENALEAD_TARGET_TARGET_ROWS_H_

#include <map>
#include <string>
#include <vector>

#include "links/declaration_report.h"
#include "platform/rows.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Applies the operator's rows to `state`. `ages`: by key, the least time since
/// a declaration of weights was made.
void ApplyOperatorRows(TargetState& state,
                       const platform::Rows& rows,
                       const std::map<std::string, Duration>& ages);

/// Applies the dates of declarations that an entry knows, also of versions
/// whose rows this process never saw, as the store keeps the newest one alone.
void ApplyDeclarationAges(TargetState& state,
                          const std::vector<links::DeclarationAge>& declared);

/// Whether the replica on this host has an engine according to the operator's
/// `rows`.
bool HasEngine(const TargetState& state, const platform::Rows& rows);

/// Applies rows of replicas to `state`. `is_snapshot`: `rows` is the complete
/// table and replaces all that is known; else it holds changes only.
void ApplyReplicaRows(TargetState& state,
                      const platform::Rows& rows,
                      bool is_snapshot);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_ROWS_H_
