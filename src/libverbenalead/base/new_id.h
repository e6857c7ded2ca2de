#ifndef VERBENALEAD_BASE_NEW_ID_H_
#define VERBENALEAD_BASE_NEW_ID_H_

#include <string>

namespace verbenalead {

/// Returns a random UUID (version 4). Thread-safe.
std::string NewId();

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_NEW_ID_H_
