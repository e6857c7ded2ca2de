#ifndef VERBENALEAD_FRONT_BEARER_CHECK_H_
#define VERBENALEAD_FRONT_BEARER_CHECK_H_

#include <string>
#include <vector>

#include "wire/response_writer.h"

namespace verbenalead::front {

/// Returns a handler that passes requests with `Authorization: Bearer TOKEN`,
/// where TOKEN is one of `tokens`, to `handler` and answers others with 401.
/// Without tokens every request passes: the daemon then listens on loopback
/// only.
wire::Handler RequireBearer(std::vector<std::string> tokens,
                            wire::Handler handler);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_BEARER_CHECK_H_
