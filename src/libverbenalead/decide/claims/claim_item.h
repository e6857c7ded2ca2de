#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_ITEM_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_ITEM_H_

#include <compare>
#include <cstdint>
#include <string>

namespace verbenalead::decide {

/// The claim of an idempotency key, as stored in the table.
struct ClaimItem {
  /// See ClaimRevision().
  uint64_t m_revision = 0;
  /// At stage kClaimed, the request that holds the key; at kAnswered, the
  /// outcome of the call.
  std::string m_value;

  friend auto operator<=>(const ClaimItem&, const ClaimItem&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_ITEM_H_
