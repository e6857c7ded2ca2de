#ifndef VERBENALEAD_DAEMON_REQUEST_RUNNER_H_
#define VERBENALEAD_DAEMON_REQUEST_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "daemon/attempt_runner.h"
#include "daemon/claim_keeper.h"
#include "daemon/journal.h"
#include "daemon/pool_routers.h"
#include "daemon/quarantine_keeper.h"
#include "front/call_runner.h"
#include "front/problem.h"

namespace verbenalead::daemon {

/// A request's life in the entry: claimed if it may run only once, admitted,
/// placed, attempted, perhaps retried, and told its outcome. May be used from
/// several threads.
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

  /// For the exchange with other entries.
  QuarantineKeeper& quarantine() { return m_quarantine; }
  /// How many entries there are, us included: they share what the table and
  /// the targets can take.
  void SetEntries(size_t entries) {
    m_claims.SetEntries(entries);
    m_routers.SetEntries(entries);
  }

 private:
  /// The end of all attempts.
  struct Verdict {
    model::Outcome m_outcome = model::Outcome::kRefused;
    std::string m_reason;
    std::string m_target;
    uint32_t m_attempts = 0;
    Duration m_retry_after{};
    /// An attempt may have run, whatever a later one says.
    bool m_in_doubt = false;
    AttemptReport m_last;
  };

  /// Tells the caller of a request under which targets crash that it is set
  /// aside.
  Awaitable<void> SetAside(model::Call call, wire::ResponseWriter& writer);
  /// The writer of the claim; nullopt: the key is not ours, and the caller has
  /// been answered.
  Awaitable<std::optional<uint64_t>> ClaimKey(model::Call call,
                                              wire::ResponseWriter& writer);
  /// Attempts `call` until it has run, can't be tried again, or its time is up.
  /// A call that finds the targets full keeps its slot and asks again.
  Awaitable<Verdict> Attempt(model::Call call,
                             wire::Request request,
                             wire::ResponseWriter& writer);
  /// One try at a few targets. kDone: the verdict stands.
  enum class RoundEnd { kDone, kFull, kTurnedAway };
  Awaitable<RoundEnd> TryTargets(const model::Call& call,
                                 const wire::Request& request,
                                 TimePoint started,
                                 Verdict& verdict,
                                 wire::ResponseWriter& writer);
  Awaitable<decide::EndedAttempt> TryOne(const model::Call& call,
                                         decide::Placement placement,
                                         const wire::Request& request,
                                         Verdict& verdict,
                                         wire::ResponseWriter& writer);
  Awaitable<void> SettleClaim(model::Call call,
                              uint64_t writer,
                              Verdict verdict);
  Awaitable<void> Tell(model::Call call,
                       Verdict verdict,
                       wire::ResponseWriter& writer);

  PoolRouters& m_routers;
  AttemptRunner m_attempts;
  ClaimKeeper m_claims;
  Journal& m_journal;
  QuarantineKeeper m_quarantine;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_REQUEST_RUNNER_H_
