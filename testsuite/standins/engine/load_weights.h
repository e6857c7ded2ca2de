#ifndef VERBENALEAD_STANDINS_ENGINE_LOAD_WEIGHTS_H_
#define VERBENALEAD_STANDINS_ENGINE_LOAD_WEIGHTS_H_

#include <string>

#include "base/awaitable.h"
#include "base/digest.h"
#include "wire/client.h"

namespace verbenalead::standins {

/// Downloads weights over HTTP from `url` ("http://IP:port/path"), checks that
/// they start with a safetensors header, and returns their digest.
Awaitable<AsyncResult<Digest>> LoadWeights(wire::Client& client,
                                           std::string url);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_ENGINE_LOAD_WEIGHTS_H_
