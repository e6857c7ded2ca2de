#ifndef VERBENALEAD_DECIDE_CLAIM_WORK_H_
#define VERBENALEAD_DECIDE_CLAIM_WORK_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/claim_revision.h"

namespace verbenalead::decide {

/// One thing to be written about one key, from its submission until it is known
/// whether the write took effect.
struct ClaimWork {
  enum class Kind {
    kClaim,    ///< Take the key, if it is free.
    kRecord,   ///< The claimed call has ended: keep m_value as its outcome.
    kRelease,  ///< The claimed call was certainly not run: free the key.
  };
  Kind m_kind = Kind::kClaim;
  /// Organisation and idempotency key.
  std::string m_key;
  /// Unique to this attempt to claim: 62 random bits, never 0.
  uint64_t m_writer = 0;
  std::string m_value;
  /// After it no further try is begun.
  TimePoint m_deadline{};

  // What follows is kept by the batch.
  /// The revision that the write will find.
  uint64_t m_expected = 0;
  /// A write was sent, and it may still take effect.
  bool m_in_doubt = false;
  /// Nobody waits for it.
  bool m_silent = false;
};

/// A claim of `key` by `writer`.
inline ClaimWork MakeClaim(std::string key,
                           uint64_t writer,
                           std::string value,
                           TimePoint deadline) {
  return {ClaimWork::Kind::kClaim, std::move(key), writer, std::move(value),
          deadline};
}

/// What ends the claim that `writer` holds: kRecord or kRelease.
inline ClaimWork MakeEnd(ClaimWork::Kind kind,
                         std::string key,
                         uint64_t writer,
                         std::string value,
                         TimePoint deadline) {
  return {kind,     std::move(key),
          writer,   std::move(value),
          deadline, ClaimRevision(writer, ClaimStage::kClaimed)};
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIM_WORK_H_
