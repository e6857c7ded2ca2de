#ifndef VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decide/rollout/gate.h"
#include "decide/rollout/permit_tracker.h"
#include "decide/rollout/rollout_action.h"
#include "decide/rollout/rollout_plan.h"
#include "decide/rollout/rollout_stage.h"

namespace verbenalead::decide {

/// State of the rollout of the declared version at one target host. All hosts
/// of a pool may fetch the version at once. A host that serves acquires a
/// permit before it shuts its gate, so that enough hosts of the pool keep
/// serving; a host that serves nothing loads without a permit. Used as
///
///     RolloutAction action = NextStep(state, gate, plan, now);
///     // Execute the action, then report its result by one of the functions
///     // below.
///
/// State and gate are accessed only under the gate's lock.
struct RolloutState {
  std::string m_host;
  /// Identifies this run of the process.
  uint64_t m_owner = 0;

  RolloutStage m_stage = RolloutStage::kIdle;
  /// Why the rollout waits or failed.
  std::string m_reason;

  /// The version that the engine last reported to serve.
  Digest m_engine;
  /// The value of GateState::m_status_epoch that the last engine status
  /// resolved. If the two differ, the engine has to be queried before any other
  /// step.
  uint64_t m_resolved_epoch = 0;
  TimePoint m_next_status_query{};

  Digest m_fetched;
  TimePoint m_next_fetch{};

  /// The permits as last read or written; nullopt if they have to be read.
  std::optional<LoadPermits> m_load_permits;
  /// The permits as sent in the write in progress.
  std::optional<LoadPermits> m_pending_write;
  TimePoint m_next_read{};
  PermitTracker m_permit_tracker;
  /// This process holds a permit, on which it may act until m_permit_until.
  bool m_permit = false;
  TimePoint m_permit_until{};
  /// The end of the notice to entries that the gate is about to shut.
  std::optional<TimePoint> m_notice_end;
  /// After the end of that notice, the permits were discarded to be read again.
  bool m_permits_rechecked = false;
  /// The permit was renewed after the gate was shut and drained.
  bool m_permit_confirmed = false;
  /// The table may hold a permit of this host, possibly of an earlier run.
  bool m_permit_may_be_stored = true;
  /// A failed load has to be recorded in the pool's permits.
  bool m_failure_unrecorded = false;

  /// The rollout has shut the gate to load m_loading_digest.
  bool m_shut_for_load = false;
  Digest m_loading_digest;
  /// The version in force before the gate was shut.
  Digest m_previous_version;
  /// The fencing token for the next order; 0 if it has to be minted.
  uint64_t m_fencing_token = 0;
  /// The version of the last order, until the engine has reported which version
  /// it serves after it.
  Digest m_ordered_version;
  /// Revision of the pool's spec at the time of the order. A failure is
  /// recorded for this revision, so that it doesn't stop a rollout that an
  /// operator has started since.
  uint64_t m_ordered_revision = 0;
  /// Why the order failed; empty if the engine reported success.
  std::string m_order_reason;

  /// Number of consecutive orders that the engine reported as done while it
  /// serves another version.
  uint32_t m_stale_orders = 0;
  /// The version and spec revision of the last failed load.
  Digest m_failed;
  uint64_t m_failed_plan = 0;
  std::string m_failure;
  TimePoint m_retry_at{};
  bool m_superseded = false;
};

RolloutState StartRollout(const std::string& host, uint64_t owner);

/// Returns the next action. Shuts the gate when a load is about to start.
RolloutAction NextStep(RolloutState& state,
                       GateState& gate,
                       const RolloutPlan& plan,
                       TimePoint now);

void Fetched(RolloutState& state, const Digest& digest);
void FetchFailed(RolloutState& state, const std::string& reason, TimePoint now);
/// `permits` is nullopt if the table could not be read.
void PermitsRead(RolloutState& state,
                 std::optional<LoadPermits> permits,
                 TimePoint now);
enum class WriteResult {
  kCommitted,
  kConflict,  ///< The item changed since it was read; nothing was written.
  kDoubt,     ///< No answer; the write may have taken effect.
};
/// `sent` is the time at which the write was sent; the holding period of the
/// permit starts then.
void PermitsWritten(RolloutState& state,
                    const GateState& gate,
                    WriteResult result,
                    TimePoint sent,
                    TimePoint now);
void FencingTokenMinted(RolloutState& state, uint64_t fence);
/// Reports that another process has since minted a fencing token for this host.
/// That process now controls the engine; this process must neither send orders
/// nor serve again.
void Superseded(RolloutState& state, GateState& gate);
/// Reports the end of an order. `reason` is empty if the engine reported a
/// successful load. In both cases the engine's status is queried before the
/// gate opens.
void OrderEnded(RolloutState& state,
                GateState& gate,
                const std::string& reason);
/// Reports the engine's status for a kQueryEngine action. `serves` is the
/// version that the engine serves, or nullopt if it did not answer. `epoch` is
/// the action's m_status_epoch.
void EngineStatusReceived(RolloutState& state,
                          GateState& gate,
                          const RolloutPlan& plan,
                          std::optional<Digest> serves,
                          uint64_t epoch,
                          TimePoint now);

/// Reports an engine status from periodic polling, outside the steps of
/// NextStep(). Shuts the gate if the engine did not answer or serves another
/// version than the one in force. Never opens the gate, because the status
/// isn't tied to a value of GateState::m_status_epoch and may be out of date.
void EnginePolled(const RolloutState& state,
                  GateState& gate,
                  std::optional<Digest> serves);

/// Returns true if the permit has to be renewed now. Renewals run in parallel
/// with the action in progress.
bool RenewalDue(const RolloutState& state, TimePoint now);
/// Returns `permits` with this host's permit renewed. Returns nullopt if
/// another host erased the permit after it lapsed, or if another process of
/// this host has acquired it.
std::optional<LoadPermits> WithPermitRenewed(RolloutState& state,
                                             const LoadPermits& permits);
/// Reports that the renewal sent at `sent` was written.
void RenewalWritten(RolloutState& state, TimePoint sent);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ROLLOUT_H_
