#ifndef VERBENALEAD_BASE_JOIN_NAMES_H_
#define VERBENALEAD_BASE_JOIN_NAMES_H_

#include <string>

namespace verbenalead {

/// The names in `names`, separated by commas, for a log line.
template <typename Names>
std::string JoinNames(const Names& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty())
      joined += ',';
    joined += name;
  }
  return joined;
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_JOIN_NAMES_H_
