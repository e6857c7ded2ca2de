#ifndef VERBENALEAD_PLATFORM_DECODE_STATEMENTS_H_
#define VERBENALEAD_PLATFORM_DECODE_STATEMENTS_H_

#include <string>

#include "base/time.h"
#include "model/replica_statements.h"
#include "wire/response.h"

namespace verbenalead::platform {

/// Upper bound of a rest. A longer one is taken as this, so that a mistaken
/// figure doesn't keep a replica unused until it restarts.
constexpr Duration kMaxRest = std::chrono::minutes(10);

/// Reads the header fields in which a replica states something of itself.
model::ReplicaStatements DecodeStatements(const wire::ResponseHead& head);

/// Whether `name` (lower case) is such a field.
bool IsStatement(const std::string& name);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DECODE_STATEMENTS_H_
