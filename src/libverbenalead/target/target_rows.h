#ifndef VERBENALEAD_TARGET_TARGET_ROWS_H_
#define VERBENALEAD_TARGET_TARGET_ROWS_H_

#include "platform/rows.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Takes the operator's rows in; true: what the engine should have has changed.
bool TakeOperatorRows(TargetState& state, const platform::Rows& rows);

/// Takes the rows of replicas in.
void TakeReplicaRows(TargetState& state,
                     const platform::Rows& rows,
                     bool whole);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_ROWS_H_
