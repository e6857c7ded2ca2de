#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_OPERATION_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_OPERATION_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/claims/claim_revision.h"

namespace verbenalead::decide {

/// One operation on a key's claim, from its submission until it is known
/// whether the write took effect.
struct ClaimOperation {
  enum class Kind {
    kClaim,    ///< Claim the key if it is free.
    kRecord,   ///< Store m_value as the outcome of the claimed call.
    kRelease,  ///< Free the key; the claimed call was certainly not run.
  };
  Kind m_kind = Kind::kClaim;
  /// Organisation and idempotency key.
  std::string m_key;
  /// Unique to one attempt to claim: 62 random bits, never 0.
  uint64_t m_writer = 0;
  /// For kClaim and kRelease, the id of the request that claims the key; for
  /// kRecord, the outcome of the call.
  std::string m_value;
  /// No further write or read is started after this time.
  TimePoint m_deadline{};

  // The batch maintains the fields below.
  /// The revision on which the write is conditional; 0 if no item may exist.
  uint64_t m_expected = 0;
  /// A write was sent whose answer was lost; it may still take effect.
  bool m_in_doubt = false;
  /// No caller waits for the result, so no kReportResult action is issued.
  bool m_unattended = false;
};

/// Returns an operation that claims `key` for `writer`.
inline ClaimOperation MakeClaim(std::string key,
                                uint64_t writer,
                                std::string value,
                                TimePoint deadline) {
  return {ClaimOperation::Kind::kClaim, std::move(key), writer,
          std::move(value), deadline};
}

/// Returns an operation that ends the claim held by `writer`: kRecord or
/// kRelease.
inline ClaimOperation MakeClaimEnd(ClaimOperation::Kind kind,
                                   std::string key,
                                   uint64_t writer,
                                   std::string value,
                                   TimePoint deadline) {
  return {kind,     std::move(key),
          writer,   std::move(value),
          deadline, ClaimRevision(writer, ClaimStage::kClaimed)};
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_OPERATION_H_
