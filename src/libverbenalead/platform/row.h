#ifndef VERBENALEAD_PLATFORM_ROW_H_
#define VERBENALEAD_PLATFORM_ROW_H_

#include <cstdint>
#include <string>

#include "model/revision.h"

namespace verbenalead::platform {

/// One row of a table in the platform's store.
struct Row {
  std::string m_key;
  /// The value, decoded from base64; empty if `m_deleted`.
  std::string m_value;
  model::Revision m_revision;
  bool m_deleted = false;

  friend bool operator==(const Row&, const Row&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ROW_H_
