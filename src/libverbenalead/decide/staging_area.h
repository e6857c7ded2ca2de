#ifndef VERBENALEAD_DECIDE_STAGING_AREA_H_
#define VERBENALEAD_DECIDE_STAGING_AREA_H_

#include <cstdint>

namespace verbenalead::decide {

/// A version whose chunks lie in an engine's staging area, or are to.
struct StagedVersion {
  uint64_t m_version = 0;
  /// Part of its chunks that this host has, 0 to 1.
  double m_share = 0;

  friend bool operator==(const StagedVersion&, const StagedVersion&) = default;
};

/// A version that has come so far is worth ending: its rest comes from other
/// hosts, whatever becomes of the origin.
constexpr double kShareToEnd = 0.4;

/// Whether chunks of `wanted` may be staged over those of `present`, in an
/// engine that has `loaded`. The area has one place for each chunk number.
///
/// Failure: two versions in quick succession; the newer one's first chunks take
/// the places of the older one, then the origin dies. Symptom: neither is whole
/// on any host, and no replica may be used once the older one binds. A version
/// that isn't loaded yet is only given up for one that is whole, or while
/// little of it is here; until then the newer chunks wait in memory.
inline bool MayStage(const StagedVersion& present,
                     const StagedVersion& wanted,
                     uint64_t loaded) {
  const bool keep_present =
      present.m_version > loaded && present.m_share >= kShareToEnd;
  return present.m_version == wanted.m_version || !keep_present ||
         wanted.m_share >= 1;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STAGING_AREA_H_
