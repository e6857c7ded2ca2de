#ifndef VERBENALEAD_FRONT_CALL_PARSER_H_
#define VERBENALEAD_FRONT_CALL_PARSER_H_

#include <string>

#include "base/failure.h"
#include "decide/config.h"
#include "model/call.h"
#include "wire/request.h"

namespace verbenalead::front {

// Header fields of callers.
constexpr char kOrganisationHeader[] = "x-organisation";
constexpr char kIdempotentHeader[] = "x-idempotent";
constexpr char kIdempotencyKeyHeader[] = "idempotency-key";
constexpr char kTimeoutHeader[] = "x-timeout-ms";
constexpr char kPriorityHeader[] = "priority";

/// Bounds of the timeout that a caller may name, and what stands without one.
constexpr Duration kDefaultTimeout = 30s;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

/// Reads a caller's request: `POST /v1/completions` for a model, or
/// `/services/NAME/...` for a plain service. `id` names this call; it is
/// the request id too where the caller sent no X-Request-Id. Fails with
/// kInvalid for bad input, with kNotFound for an unknown model, service or
/// organisation.
Result<model::Call> ParseCall(const wire::Request& request,
                              const decide::ConfigState& config,
                              const std::string& id,
                              TimePoint now);

/// The path that the target sees for `request`: for a plain service what
/// follows its name.
std::string TargetPath(const wire::Request& request);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_CALL_PARSER_H_
