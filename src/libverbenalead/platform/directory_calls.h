#ifndef VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_
#define VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::platform {

inline constexpr char kReadinessPath[] = "/readyz";
inline constexpr char kDirectoryPath[] = "/resolve";
/// Addresses in one answer.
inline constexpr size_t kMostAddresses = 64;

/// The data centre of the caller that asks for addresses; empty: it tells none.
std::string CallerDataCenter(const wire::Request& request);

/// Tells a caller where to connect, and for how long that holds.
wire::Response EncodeAddresses(const std::vector<Endpoint>& addresses,
                               Duration valid_for);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_
