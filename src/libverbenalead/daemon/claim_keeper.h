#ifndef VERBENALEAD_DAEMON_CLAIM_KEEPER_H_
#define VERBENALEAD_DAEMON_CLAIM_KEEPER_H_

#include <optional>
#include <string>

#include "daemon/recorded_answer.h"
#include "model/call.h"
#include "platform/table.h"

namespace verbenalead::daemon {

/// What came of claiming a call's key.
struct ClaimResult {
  enum class Kind {
    kOurs,         ///< Claimed: this call, and no other, may run.
    kAnswered,     ///< An earlier call with the key has ended: m_answer.
    kHeld,         ///< An earlier call with the key is under way or was lost.
    kUnavailable,  ///< The table can't say: not run.
  };
  Kind m_kind = Kind::kUnavailable;
  RecordedAnswer m_answer;
  std::string m_reason;
};

/// Claims of non-idempotent calls in the platform's table, under (organisation,
/// idempotency key), before they run. May be used from several threads.
class ClaimKeeper {
 public:
  explicit ClaimKeeper(platform::Table& table) : m_table(table) {}

  Awaitable<ClaimResult> Claim(model::Call call);
  /// Records how the claimed call ended.
  Awaitable<AsyncResult<bool>> Record(model::Call call, RecordedAnswer answer);
  /// Gives the claim back: the call was certainly not run.
  Awaitable<AsyncResult<bool>> Release(model::Call call);

 private:
  platform::Table& m_table;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CLAIM_KEEPER_H_
