#ifndef VERBENALEAD_FRONT_OPERATORS_API_H_
#define VERBENALEAD_FRONT_OPERATORS_API_H_

#include "front/operators_context.h"
#include "wire/response_writer.h"

namespace verbenalead::front {

/// The operators' HTTP API, served on a separate address:
///
///     GET    /v1/resources[/KIND[/NAME]]
///     PUT    /v1/resources/KIND/NAME    If-Match, X-Operation-Id, X-Operator
///     DELETE /v1/resources/KIND/NAME
///     GET    /v1/watch?after=REVISION   a stream of JSON lines
///     GET    /v1/status                 revision, reports of targets
///     GET    /v1/trace/REQUEST
///     POST   /v1/drain/TARGET
wire::Handler MakeOperatorsApi(OperatorsContext context);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_OPERATORS_API_H_
