#ifndef VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_
#define VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_

#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "platform/directory_request.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::platform {

inline constexpr char kReadinessPath[] = "/readyz";
inline constexpr char kDirectoryPath[] = "/resolve";
/// Most addresses in one answer.
inline constexpr size_t kMaxAddresses = 64;

DirectoryRequest DecodeDirectoryRequest(const wire::Request& request);

/// Returns the answer with the addresses to which a caller may connect and the
/// time for which they are valid.
wire::Response EncodeAddresses(const std::vector<Endpoint>& addresses,
                               Duration valid_for);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DIRECTORY_CALLS_H_
