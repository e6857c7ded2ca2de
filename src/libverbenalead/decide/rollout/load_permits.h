#ifndef VERBENALEAD_DECIDE_ROLLOUT_LOAD_PERMITS_H_
#define VERBENALEAD_DECIDE_ROLLOUT_LOAD_PERMITS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "base/failure.h"
#include "decide/rollout/permit.h"

namespace verbenalead::decide {

/// The load permits of one pool, stored as one item of the platform's table.
/// Each write is conditional on the revision that was read: if two hosts try to
/// acquire the last free permit, the table rejects the second write.
struct LoadPermits {
  uint64_t m_revision = 0;
  /// Permits by host.
  std::map<std::string, LoadPermit> m_permits;

  friend bool operator==(const LoadPermits&, const LoadPermits&) = default;
};

/// Returns the permits encoded as the value of their table item. The revision
/// isn't part of the value.
std::string ToJson(const LoadPermits& permits);
Result<LoadPermits> ParseLoadPermits(std::string_view json, uint64_t revision);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_LOAD_PERMITS_H_
