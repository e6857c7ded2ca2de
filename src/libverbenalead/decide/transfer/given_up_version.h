#ifndef VERBENALEAD_DECIDE_TRANSFER_GIVEN_UP_VERSION_H_
#define VERBENALEAD_DECIDE_TRANSFER_GIVEN_UP_VERSION_H_

#include <cstdint>

namespace verbenalead::decide {

enum class GiveUpReason {
  /// A newer version becomes binding before this one could be loaded.
  kTooLate,
  /// Fetching it would leave replicas without usable weights for longer, or
  /// cost
  /// one more load.
  kCost
};

/// A version that is no longer fetched.
struct GivenUpVersion {
  uint64_t m_version = 0;
  /// The newer version that is fetched instead.
  uint64_t m_replaced_by = 0;
  /// Chunks that no host had.
  uint32_t m_missing = 0;
  GiveUpReason m_reason = GiveUpReason::kCost;

  friend bool operator==(const GivenUpVersion&,
                         const GivenUpVersion&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_GIVEN_UP_VERSION_H_
