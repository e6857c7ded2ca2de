#ifndef VERBENALEAD_DECIDE_TRANSFER_STAGING_AREA_H_
#define VERBENALEAD_DECIDE_TRANSFER_STAGING_AREA_H_

#include <cstdint>

namespace verbenalead::decide {

/// A version whose chunks are in the staging area of an engine, or are to be
/// staged.
struct StagedVersion {
  uint64_t m_version = 0;
  /// Share of its chunks that this host has, 0 to 1.
  double m_share = 0;

  friend bool operator==(const StagedVersion&, const StagedVersion&) = default;
};

/// From this share on, the transfer of a version is completed before a newer
/// one replaces it: the other chunks come from other hosts, even if the origin
/// is unavailable.
constexpr double kMinShareToFinish = 0.4;

/// Whether chunks of `wanted` may overwrite those of `present` in the staging
/// area of an engine that has `loaded`. The area holds one chunk for each chunk
/// number.
///
/// Failure: two versions are declared in quick succession, the first chunks of
/// the newer one overwrite those of the older one, and then the origin becomes
/// unavailable. Symptom: neither version is complete on any host, and no
/// replica may be used once the older one becomes binding. Therefore a version
/// that is not loaded yet is only overwritten by a complete one, or while less
/// than kMinShareToFinish of it is present. Until then the chunks of the newer
/// version wait in memory.
inline bool MayOverwriteStaged(const StagedVersion& present,
                               const StagedVersion& wanted,
                               uint64_t loaded) {
  const bool keep_present =
      present.m_version > loaded && present.m_share >= kMinShareToFinish;
  return present.m_version == wanted.m_version || !keep_present ||
         wanted.m_share >= 1;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_STAGING_AREA_H_
