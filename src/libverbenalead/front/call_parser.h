#ifndef VERBENALEAD_FRONT_CALL_PARSER_H_
#define VERBENALEAD_FRONT_CALL_PARSER_H_

#include <string>

#include "base/failure.h"
#include "decide/config/config.h"
#include "model/call.h"
#include "wire/request.h"

namespace verbenalead::front {

// Request header fields that callers set.
constexpr char kOrganisationHeader[] = "x-organisation";
constexpr char kIdempotentHeader[] = "x-idempotent";
constexpr char kIdempotencyKeyHeader[] = "idempotency-key";
constexpr char kTimeoutHeader[] = "x-timeout-ms";
constexpr char kPriorityHeader[] = "priority";

/// Default and maximum of the timeout that a caller may set; a longer one is
/// reduced to the maximum.
constexpr Duration kDefaultTimeout = 30s;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

/// Parses a caller's request: `POST /v1/completions` for a model, or
/// `/services/NAME/...` for a plain service. `id` identifies this call; it is
/// also the request id if the caller sent no X-Request-Id. Fails with kInvalid
/// for bad input, with kNotFound for an unknown model, service or organisation.
Result<model::Call> ParseCall(const wire::Request& request,
                              const decide::ConfigState& config,
                              const std::string& id,
                              TimePoint now);

/// Returns the path that the target receives for `request`. For a plain
/// service, this is the part after the service's name.
std::string TargetPath(const wire::Request& request);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_CALL_PARSER_H_
