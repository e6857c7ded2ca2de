#ifndef VERBENALEAD_BASE_NEW_ID_H_
#define VERBENALEAD_BASE_NEW_ID_H_

#include <string>

namespace verbenalead {

/// A random UUID (version 4). From any thread.
std::string NewId();

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_NEW_ID_H_
