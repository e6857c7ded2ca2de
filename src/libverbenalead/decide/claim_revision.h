#ifndef VERBENALEAD_DECIDE_CLAIM_REVISION_H_
#define VERBENALEAD_DECIDE_CLAIM_REVISION_H_

#include <cstdint>

namespace verbenalead::decide {

/// How far the claim of an idempotency key has come.
enum class ClaimStage : uint64_t {
  kClaimed = 1,   ///< Its writer may run the call, and nobody else.
  kAnswered = 2,  ///< The call has ended; the item holds its outcome.
  kReleased = 3,  ///< The call was certainly not run; the key is free.
};

/// The revision of a claim's item: its writer and its stage in one number.
///
/// Writers are unique to one attempt to claim, so a revision never returns. A
/// write that was delayed on its way, and whose condition names a revision, can
/// therefore never hit a later claim of the same key. With the bare stage as
/// revision it did: a release that was sent again after its answer was lost
/// freed the next caller's claim, and the key ran twice.
constexpr uint64_t ClaimRevision(uint64_t writer, ClaimStage stage) {
  return writer << 2 | static_cast<uint64_t>(stage);
}

constexpr ClaimStage StageOf(uint64_t revision) {
  return static_cast<ClaimStage>(revision & 3);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIM_REVISION_H_
