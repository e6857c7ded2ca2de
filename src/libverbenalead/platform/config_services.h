#ifndef VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_
#define VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_

#include <string>
#include <string_view>

namespace verbenalead::platform {

/// Returns the operator's configuration without its routes and organisations,
/// which a target process doesn't need; that leaves 3 KB of 390. Text that
/// can't be parsed is returned unchanged, so that its decoder rejects it.
std::string ServicesOnly(std::string_view config);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_
