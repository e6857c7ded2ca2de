#ifndef VERBENALEAD_PLATFORM_DIRECTORY_REQUEST_H_
#define VERBENALEAD_PLATFORM_DIRECTORY_REQUEST_H_

#include <string>

namespace verbenalead::platform {

/// A caller's request for the entries to use. A field is empty if the caller
/// doesn't state it.
struct DirectoryRequest {
  /// The host that the caller wants to call.
  std::string m_host;
  /// Where the caller is.
  std::string m_data_center;
  std::string m_region;

  friend bool operator==(const DirectoryRequest&,
                         const DirectoryRequest&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DIRECTORY_REQUEST_H_
