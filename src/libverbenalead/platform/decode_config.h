#ifndef VERBENALEAD_PLATFORM_DECODE_CONFIG_H_
#define VERBENALEAD_PLATFORM_DECODE_CONFIG_H_

#include <string_view>

#include "base/failure.h"
#include "model/routing_config.h"

namespace verbenalead::platform {

/// Decodes the operator's configuration. Fails with kInvalid and names the part
/// that can't be read.
Result<model::RoutingConfig> DecodeConfig(std::string_view json);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DECODE_CONFIG_H_
