#ifndef VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_
#define VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_

#include <string>
#include <string_view>

namespace verbenalead::platform {

/// The operator's configuration without its routes and organisations: what a
/// target process needs of it, 3 KB of 390. Text that can't be read is returned
/// as it is, for whoever decodes it to refuse.
std::string ServicesOnly(std::string_view config);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_CONFIG_SERVICES_H_
