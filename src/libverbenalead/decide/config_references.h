#ifndef VERBENALEAD_DECIDE_CONFIG_REFERENCES_H_
#define VERBENALEAD_DECIDE_CONFIG_REFERENCES_H_

#include "decide/config.h"
#include "model/resource_write.h"

namespace verbenalead::decide {

/// Checks that `write` leaves no resource that names an absent one: what a new
/// spec names must be declared, and what others name can't be deleted. Fails
/// with kInvalid and names the field and both resources.
///
/// A pool names its plain service and the service its pool; only the latter is
/// checked, or neither could be declared first.
Result<void> CheckReferences(const ConfigState& state,
                             const model::ResourceWrite& write);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_REFERENCES_H_
