#ifndef VERBENALEAD_TARGET_TARGET_ROWS_H_
#define VERBENALEAD_TARGET_TARGET_ROWS_H_

#include <map>
#include <string>

#include "platform/rows.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Takes the operator's rows in. `ages`: how long ago declarations of weights
/// were made, at least, by key.
void TakeOperatorRows(TargetState& state,
                      const platform::Rows& rows,
                      const std::map<std::string, Duration>& ages);

/// Whether by `rows` of the operator the replica on this host has an engine.
bool RunsEngine(const TargetState& state, const platform::Rows& rows);

/// Takes the rows of replicas in.
void TakeReplicaRows(TargetState& state,
                     const platform::Rows& rows,
                     bool whole);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_ROWS_H_
