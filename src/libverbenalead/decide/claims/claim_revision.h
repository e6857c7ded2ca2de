#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_REVISION_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_REVISION_H_

#include <cstdint>

namespace verbenalead::decide {

/// The stage of an idempotency key's claim.
enum class ClaimStage : uint64_t {
  kClaimed = 1,   ///< Only the writer of the claim may run the call.
  kAnswered = 2,  ///< The call has ended; the item holds its outcome.
  kReleased = 3,  ///< The call was certainly not run; the key is free.
};

/// Returns the revision of a claim's item, which combines writer and stage.
///
/// A writer is unique to one attempt to claim, so no revision is ever reused.
/// A delayed write is conditional on a revision and therefore can't affect a
/// later claim of the same key. If the revision were the stage alone, a release
/// that is retried after a lost answer could free the next caller's claim, and
/// the call of that key would run twice.
constexpr uint64_t ClaimRevision(uint64_t writer, ClaimStage stage) {
  return writer << 2 | static_cast<uint64_t>(stage);
}

constexpr ClaimStage StageOf(uint64_t revision) {
  return static_cast<ClaimStage>(revision & 3);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_REVISION_H_
