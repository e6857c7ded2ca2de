#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_PUT_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_PUT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "decide/claims/claim_item.h"

namespace verbenalead::decide {

/// One conditional write within a transaction.
struct ClaimPut {
  std::string m_key;
  ClaimItem m_item;
  /// The revision that the stored item must have; 0 if none may exist.
  uint64_t m_expected = 0;

  friend auto operator<=>(const ClaimPut&, const ClaimPut&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_PUT_H_
