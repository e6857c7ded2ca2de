#ifndef VERBENALEAD_WIRE_HEADERS_H_
#define VERBENALEAD_WIRE_HEADERS_H_

#include <map>
#include <string>

namespace verbenalead::wire {

/// Header fields by lower-case name, with one value per name: the protocols
/// between the system's processes never repeat a field.
using Headers = std::map<std::string, std::string>;

/// Returns the value of `name` (lower case), or "" if it is absent.
inline std::string Get(const Headers& headers, const std::string& name) {
  auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_HEADERS_H_
