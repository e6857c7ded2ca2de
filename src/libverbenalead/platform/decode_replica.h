#ifndef VERBENALEAD_PLATFORM_DECODE_REPLICA_H_
#define VERBENALEAD_PLATFORM_DECODE_REPLICA_H_

#include <string>
#include <string_view>

#include "base/failure.h"
#include "model/engine_report.h"
#include "model/replica.h"

namespace verbenalead::platform {

/// Reads what the replica `id` wrote of itself. Fails with kInvalid where the
/// text names no replica to use: fields missing or of another type, a state
/// that isn't known, or bytes that can't be read.
Result<model::Replica> DecodeReplica(const std::string& id,
                                     std::string_view json);

/// Reads an engine's own answer about its state. Fails with kInvalid.
Result<model::EngineReport> DecodeReport(std::string_view json);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DECODE_REPLICA_H_
