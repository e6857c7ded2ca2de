#ifndef VERBENALEAD_DAEMON_REQUEST_RUNNER_H_
#define VERBENALEAD_DAEMON_REQUEST_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "daemon/attempt_runner.h"
#include "daemon/claim_store.h"
#include "daemon/journal.h"
#include "daemon/locked_quarantine.h"
#include "daemon/pool_routers.h"
#include "front/call_runner.h"
#include "front/problem.h"

namespace verbenalead::daemon {

/// Runs a caller's request in the entry. Claims the idempotency key of a
/// non-idempotent call, waits for admission, chooses targets, sends attempts,
/// retries where that is safe, and reports the outcome to the caller.
/// Thread-safe.
class RequestRunner : public front::CallRunner {
 public:
  RequestRunner(PoolRouters& routers,
                wire::Client& peers,
                backends::Table& table,
                Journal& journal)
      : m_routers(routers),
        m_attempts(peers),
        m_claims(table),
        m_journal(journal) {}

  Awaitable<void> Run(model::Call call,
                      wire::Request request,
                      wire::ResponseWriter& writer) override;

  /// For the exchange of crash records with other entries.
  LockedQuarantine& quarantine() { return m_quarantine; }
  /// Sets the number of entries, including this one. They share the capacity of
  /// the table and the targets.
  void SetEntryCount(size_t entries) {
    m_claims.SetEntryCount(entries);
    m_routers.SetEntryCount(entries);
  }

 private:
  /// The result of all attempts of a call.
  struct CallResult {
    model::Outcome m_outcome = model::Outcome::kRefused;
    std::string m_reason;
    std::string m_target;
    uint32_t m_attempts = 0;
    Duration m_retry_after{};
    /// An attempt may have run. A later attempt that did not run doesn't change
    /// this.
    bool m_in_doubt = false;
    AttemptReport m_last_attempt;
  };

  /// Refuses a request that is quarantined because targets crashed while they
  /// ran it.
  Awaitable<void> RefuseQuarantined(model::Call call,
                                    wire::ResponseWriter& writer);
  /// Returns the writer number of the claim. Returns nullopt if the key could
  /// not be claimed; the caller then has been answered.
  Awaitable<std::optional<uint64_t>> ClaimKey(model::Call call,
                                              wire::ResponseWriter& writer);
  /// Sends attempts until `call` has run, can't be retried, or has reached its
  /// deadline. A call that finds all targets full keeps its admission slot and
  /// starts another round after a pause.
  Awaitable<CallResult> SendAttempts(model::Call call,
                                     wire::Request request,
                                     wire::ResponseWriter& writer);
  /// The result of one round of attempts, each at another target. kDone: the
  /// result of the call is final.
  enum class RoundResult { kDone, kFull, kRefusedByTargets };
  Awaitable<RoundResult> RunRound(const model::Call& call,
                                  const wire::Request& request,
                                  TimePoint started,
                                  CallResult& result,
                                  wire::ResponseWriter& writer);
  Awaitable<decide::FinishedAttempt> RunOneAttempt(
      const model::Call& call,
      decide::Placement placement,
      const wire::Request& request,
      CallResult& result,
      wire::ResponseWriter& writer);
  Awaitable<void> SettleClaim(model::Call call,
                              uint64_t writer,
                              CallResult result);
  Awaitable<void> ReportOutcome(model::Call call,
                                CallResult result,
                                wire::ResponseWriter& writer);

  PoolRouters& m_routers;
  AttemptRunner m_attempts;
  ClaimStore m_claims;
  Journal& m_journal;
  LockedQuarantine m_quarantine;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_REQUEST_RUNNER_H_
