#ifndef VERBENALEAD_PLATFORM_DECODE_REPLICA_H_
#define VERBENALEAD_PLATFORM_DECODE_REPLICA_H_

#include <string>
#include <string_view>

#include "base/failure.h"
#include "model/engine_report.h"
#include "model/replica.h"

namespace verbenalead::platform {

/// Decodes the row of the replica `id` in the table of replicas. Fails with
/// kInvalid if the row doesn't describe a usable replica: fields are missing or
/// have another type, the state is unknown, or the text isn't JSON. Other
/// programs write to the table too, so such rows are expected.
Result<model::Replica> DecodeReplica(const std::string& id,
                                     std::string_view json);

/// Decodes an engine's report of its state. Fails with kInvalid.
Result<model::EngineReport> DecodeReport(std::string_view json);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DECODE_REPLICA_H_
