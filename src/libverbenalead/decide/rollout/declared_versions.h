#ifndef VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_
#define VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "base/time.h"

namespace verbenalead::decide {

/// Declared versions of one model's weights. From its binding time on, a
/// version forbids calls to begin on older versions.
struct DeclaredVersions {
  std::map<uint64_t, TimePoint> m_binding_times;
};

/// Records a declared version and its binding time. Later records of the same
/// version are ignored.
inline void Declare(DeclaredVersions& versions,
                    uint64_t version,
                    TimePoint binding) {
  versions.m_binding_times.emplace(version, binding);
}

/// The newest declared version; 0 if there is none.
inline uint64_t Newest(const DeclaredVersions& versions) {
  return versions.m_binding_times.empty()
             ? 0
             : versions.m_binding_times.rbegin()->first;
}

/// The oldest version on which a call may begin now; 0 for any.
inline uint64_t Binding(const DeclaredVersions& versions, TimePoint now) {
  uint64_t binding = 0;
  for (const auto& [version, from] : versions.m_binding_times) {
    if (from <= now)
      binding = version;
  }
  return binding;
}

/// Time from which no call may begin on `version`; TimePoint::max() if no newer
/// version is declared.
inline TimePoint ForbiddenFrom(const DeclaredVersions& versions,
                               uint64_t version) {
  TimePoint from = TimePoint::max();
  for (const auto& [newer, binding] : versions.m_binding_times) {
    if (newer > version)
      from = std::min(from, binding);
  }
  return from;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_
