#ifndef VERBENALEAD_DECIDE_ROLLOUT_H_
#define VERBENALEAD_DECIDE_ROLLOUT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decide/gate.h"
#include "decide/permit_watch.h"
#include "decide/rollout_action.h"
#include "decide/rollout_plan.h"
#include "decide/rollout_stage.h"

namespace verbenalead::decide {

/// One target host's way to the declared version. All hosts may fetch at once;
/// a host that serves takes a permit before it shuts its gate, and a host that
/// serves nothing loads at once. Used as
///
///     RolloutAction action = NextStep(state, gate, plan, now);
///     // does it, then reports by one of the functions below
///
/// State and gate are touched under the gate's lock.
struct RolloutState {
  std::string m_host;
  /// This run of the process.
  uint64_t m_owner = 0;

  RolloutStage m_stage = RolloutStage::kIdle;
  /// Why it waits or failed.
  std::string m_reason;

  /// What the engine last said it serves.
  Digest m_engine;
  /// The gate's doubt that the last answer of the engine settled.
  uint64_t m_settled = 0;
  TimePoint m_next_ask{};

  Digest m_fetched;
  TimePoint m_next_fetch{};

  /// The board as last read or written; nullopt: to be read.
  std::optional<PermitBoard> m_board;
  std::optional<PermitBoard> m_writing;
  TimePoint m_next_read{};
  PermitWatch m_watch;
  bool m_permit = false;
  TimePoint m_permit_until{};
  /// When the entries have learned that the gate is about to shut.
  std::optional<TimePoint> m_shut_at;
  /// The permits were read anew after that.
  bool m_rechecked = false;
  /// The permit was renewed since the gate was shut and drained.
  bool m_confirmed = false;
  /// An entry of this host may stand on the board, also one of an earlier run.
  bool m_posted = true;
  bool m_publish_failure = false;

  /// The rollout has shut the gate, for m_loading.
  bool m_shut_for_load = false;
  Digest m_loading;
  Digest m_last_open;
  uint64_t m_fence = 0;
  /// The order whose effect the engine has not confirmed yet.
  Digest m_ordered;
  /// The pool's revision at the order: a failure is told of that one, so that
  /// it can't stop a rollout that an operator has begun anew since.
  uint64_t m_ordered_plan = 0;
  std::string m_order_reason;

  /// Orders in a row that the engine called done while it serves another
  /// version.
  uint32_t m_crossed = 0;
  Digest m_failed;
  uint64_t m_failed_plan = 0;
  std::string m_failure;
  TimePoint m_retry_at{};
  bool m_deposed = false;
};

RolloutState StartRollout(const std::string& host, uint64_t owner);

/// Decides what is next. Shuts the gate when a load is about to begin.
RolloutAction NextStep(RolloutState& state,
                       GateState& gate,
                       const RolloutPlan& plan,
                       TimePoint now);

void Fetched(RolloutState& state, const Digest& digest);
void FetchFailed(RolloutState& state, const std::string& reason, TimePoint now);
/// nullopt: the table could not be read.
void PermitsRead(RolloutState& state,
                 std::optional<PermitBoard> board,
                 TimePoint now);
enum class WriteResult {
  kCommitted,
  kConflict,  ///< Somebody else's write came first.
  kDoubt,     ///< No answer: it may have taken effect.
};
/// `sent`: when the write was sent; a permit is held from then on.
void PermitsWritten(RolloutState& state,
                    const GateState& gate,
                    WriteResult result,
                    TimePoint sent,
                    TimePoint now);
void FenceMinted(RolloutState& state, uint64_t fence);
/// Another process has minted a fencing number for this host since: it gives
/// the orders now, and this one must neither order nor serve again.
void Deposed(RolloutState& state, GateState& gate);
/// The order has ended; `reason` is empty if the engine said it has loaded.
/// Either way the engine is asked before the gate opens.
void OrderEnded(RolloutState& state,
                GateState& gate,
                const std::string& reason);
/// `serves` is what the engine says; nullopt: it did not answer.
void EngineAnswered(RolloutState& state,
                    GateState& gate,
                    const RolloutPlan& plan,
                    std::optional<Digest> serves,
                    uint64_t doubt,
                    TimePoint now);

/// What the engine was seen to serve by a look beside the steps, for which
/// nothing may be opened: shuts the gate where it doesn't agree.
void EngineSeen(const RolloutState& state,
                GateState& gate,
                std::optional<Digest> serves);

/// Whether the permit has to be renewed now, beside whatever step is under way.
bool RenewalDue(const RolloutState& state, TimePoint now);
/// The board with this host's permit renewed; nullopt if it has lapsed and was
/// given to another host.
std::optional<PermitBoard> Renewed(RolloutState& state,
                                   const PermitBoard& board);
void RenewalWritten(RolloutState& state, TimePoint sent);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_H_
