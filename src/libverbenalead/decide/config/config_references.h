#ifndef VERBENALEAD_DECIDE_CONFIG_CONFIG_REFERENCES_H_
#define VERBENALEAD_DECIDE_CONFIG_CONFIG_REFERENCES_H_

#include "decide/config/config.h"
#include "model/resource_write.h"

namespace verbenalead::decide {

/// Checks that `write` leaves no reference to an absent resource: a resource
/// that a new spec names must be declared, and a resource that others name
/// can't be deleted. Fails with kInvalid and names the field and both
/// resources.
///
/// A pool and its plain service name each other. Only the service's reference
/// to the pool is checked; otherwise neither could be declared first.
Result<void> CheckReferences(const ConfigState& state,
                             const model::ResourceWrite& write);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_CONFIG_REFERENCES_H_
