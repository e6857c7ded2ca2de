#include "decide/rollout.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

using Kind = RolloutAction::Kind;

constexpr Duration kAskRetry = 200ms;
constexpr Duration kFetchRetry = 500ms;
/// An engine that failed a load is given time before the next try: what failed
/// once for want of memory or a driver seldom works a moment later.
constexpr Duration kLoadRetry = 2s;
constexpr Duration kTableRetry = 500ms;
/// Entries ask each target how it is four times a second by default. Without a
/// notice, a fast wave under steady load outran them: 44 of 1,633 requests were
/// sent to three hosts in turn whose version had changed since their last
/// report, and refused. Four times that interval leaves room for a late answer.
constexpr Duration kShutNotice = 1s;
/// All waiting hosts of a pool read its permits 200 times a second together,
/// however many they are: a tenth of the reads that the table gives, and a free
/// place is still found within milliseconds.
constexpr Duration kReadShare = 5ms;
constexpr Duration kLeastReadInterval = 100ms;

/// An engine that calls an order done and serves another version has obeyed an
/// order that was under way for long, of this process or one before. That is no
/// fault of the version, so it is ordered again rather than the rollout
/// stopped. Orders under way are few; an engine that does so time and again
/// does not load what it is told to.
constexpr uint32_t kMaxCrossed = 3;

enum class Purpose { kTake, kFail, kRelease };

RolloutAction Do(Kind kind) {
  RolloutAction action;
  action.m_kind = kind;
  return action;
}

RolloutAction Ask(const RolloutState& state,
                  const GateState& gate,
                  TimePoint now) {
  RolloutAction action;
  if (now < state.m_next_ask)
    return action;
  action.m_kind = Kind::kAskEngine;
  action.m_doubt = gate.m_doubt;
  return action;
}

RolloutAction Wait(RolloutState& state,
                   RolloutStage stage,
                   const std::string& reason) {
  state.m_stage = stage;
  state.m_reason = reason;
  return {};
}

/// Writes this host's entry into `board`. False: there is nothing to write.
bool Edit(RolloutState& state,
          const RolloutPlan& plan,
          Purpose purpose,
          PermitBoard& board) {
  auto own = board.m_permits.find(state.m_host);
  if (purpose == Purpose::kRelease) {
    // One of an earlier run is ours to erase, one of a later run is not.
    state.m_posted =
        own != board.m_permits.end() && own->second.m_owner <= state.m_owner;
    if (state.m_posted)
      board.m_permits.erase(own);
    return state.m_posted;
  }
  if (purpose == Purpose::kFail && own != board.m_permits.end() &&
      own->second.m_owner > state.m_owner) {
    state.m_publish_failure = false;
    return false;
  }
  Permit permit;
  permit.m_digest = plan.m_digest;
  permit.m_plan = plan.m_revision;
  permit.m_owner = state.m_owner;
  permit.m_number = board.m_revision;
  if (purpose == Purpose::kFail) {
    // What failed, not what is wanted by now: a new plan must not be stopped by
    // the failure of the one that it replaces.
    permit.m_digest = state.m_failed;
    permit.m_plan = state.m_failed_plan;
    permit.m_failed = true;
    permit.m_reason = state.m_failure;
  }
  board.m_permits[state.m_host] = std::move(permit);
  return true;
}

/// Reads the board, then changes it for `purpose`. `denied` is set if a permit
/// can't be had now.
RolloutAction ChangePermits(RolloutState& state,
                            const RolloutPlan& plan,
                            Purpose purpose,
                            TimePoint now,
                            bool& denied) {
  if (!state.m_board)
    return now < state.m_next_read ? RolloutAction() : Do(Kind::kReadPermits);
  PermitBoard next = *state.m_board;
  ++next.m_revision;
  if (purpose == Purpose::kTake) {
    const PermitDecision decision =
        Decide(next, state.m_watch, state.m_host, state.m_owner, plan, now);
    if (decision.m_answer != PermitAnswer::kGranted) {
      denied = true;
      state.m_reason = decision.m_reason;
      state.m_board.reset();
      state.m_next_read =
          now + std::max<Duration>(kLeastReadInterval,
                                   kReadShare * int64_t{plan.m_hosts});
      return {};
    }
    EraseLapsed(next, state.m_watch, now);
  }
  if (!Edit(state, plan, purpose, next)) {
    state.m_permit = false;
    return {};
  }
  // A permit that is given back is not ours from the moment that the write goes
  // out: if its answer is lost, the place may already be another host's.
  if (purpose != Purpose::kTake)
    state.m_permit = false;
  state.m_writing = next;
  RolloutAction action = Do(Kind::kWritePermits);
  action.m_board = std::move(next);
  return action;
}

bool HasFailed(const RolloutState& state, const RolloutPlan& plan) {
  return state.m_failed == plan.m_digest &&
         state.m_failed_plan == plan.m_revision;
}

RolloutAction Settle(RolloutState& state,
                     const RolloutPlan& plan,
                     TimePoint now) {
  state.m_failed = {};
  state.m_crossed = 0;
  state.m_publish_failure = false;
  state.m_shut_for_load = false;
  Wait(state, RolloutStage::kInForce, "");
  if (!state.m_posted)
    return {};
  bool denied = false;
  return ChangePermits(state, plan, Purpose::kRelease, now, denied);
}

/// All that can be done while the gate is open; shuts it last.
RolloutAction PrepareToShut(RolloutState& state,
                            GateState& gate,
                            const RolloutPlan& plan,
                            TimePoint now) {
  if (!state.m_permit || now >= state.m_permit_until) {
    Wait(state, RolloutStage::kWaiting, state.m_reason);
    bool denied = false;
    RolloutAction action =
        ChangePermits(state, plan, Purpose::kTake, now, denied);
    gate.m_closing = state.m_shut_at && !denied;
    return action;
  }
  if (state.m_fence == 0)
    return Do(Kind::kMintFence);
  gate.m_closing = true;
  if (!state.m_shut_at) {
    state.m_shut_at = now + kShutNotice;
    state.m_rechecked = false;
  }
  if (now < *state.m_shut_at)
    return Wait(state, RolloutStage::kLoading, "");
  if (!state.m_rechecked) {
    // During the notice a load may have failed elsewhere, or an operator
    // paused: the board tells, while the gate is still open.
    state.m_rechecked = true;
    state.m_permit = false;
    state.m_board.reset();
    return {};
  }
  state.m_shut_at.reset();
  // The permit was looked at in this very step. A process that is paused from
  // here on is paused with its gate shut, which its callers see as a dead host;
  // one that was paused before finds its time over above and asks anew.
  state.m_last_open = gate.m_digest;
  state.m_loading = plan.m_digest;
  state.m_shut_for_load = true;
  state.m_confirmed = false;
  Shut(gate);
  return Wait(state, RolloutStage::kLoading, "");
}

/// The gate is shut: orders once nothing runs any more.
RolloutAction LoadWhenDrained(RolloutState& state,
                              GateState& gate,
                              const RolloutPlan& plan,
                              TimePoint now) {
  Wait(state, RolloutStage::kLoading, "");
  if (gate.m_running > 0)
    return {};
  if (state.m_fence == 0)
    return Do(Kind::kMintFence);
  const bool held =
      state.m_permit && state.m_confirmed && now < state.m_permit_until;
  if (state.m_shut_for_load && !held) {
    // Requests may have run for long, or this process was paused: if its permit
    // has lapsed meanwhile and another host has it, the engine is left alone
    // and the gate opens for the old version again.
    bool denied = false;
    RolloutAction action =
        ChangePermits(state, plan, Purpose::kTake, now, denied);
    if (!denied)
      return action;
    state.m_permit = false;
    state.m_shut_for_load = false;
    AskAgain(gate);
    return {};
  }
  RolloutAction order = Do(Kind::kOrder);
  order.m_digest = plan.m_digest;
  order.m_fence = state.m_fence;
  // An order's number is never used twice, so that an order whose answer was
  // lost can't be taken for the next one.
  state.m_fence = 0;
  state.m_ordered = plan.m_digest;
  state.m_ordered_plan = plan.m_revision;
  return order;
}

void JudgeOrder(RolloutState& state, const RolloutPlan& plan, TimePoint now) {
  if (state.m_ordered.empty())
    return;
  const bool other =
      state.m_engine != state.m_ordered && state.m_ordered == plan.m_digest;
  const bool crossed =
      other && state.m_order_reason.empty() && ++state.m_crossed <= kMaxCrossed;
  if (other && !crossed) {
    state.m_failed = plan.m_digest;
    state.m_failed_plan = state.m_ordered_plan;
    state.m_retry_at = now + kLoadRetry;
    state.m_publish_failure |= state.m_permit;
    state.m_failure = state.m_order_reason.empty()
                          ? "the engine serves another version"
                          : state.m_order_reason;
    Wait(state, RolloutStage::kFailed, state.m_failure);
  }
  state.m_ordered = {};
}

bool MayReopen(const RolloutState& state, const RolloutPlan& plan) {
  return !state.m_engine.empty() && (plan.m_declared.contains(state.m_engine) ||
                                     state.m_engine == state.m_last_open);
}

}  // namespace

const char* ToString(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kIdle:
      return "idle";
    case RolloutStage::kFetching:
      return "fetching";
    case RolloutStage::kWaiting:
      return "waiting";
    case RolloutStage::kLoading:
      return "loading";
    case RolloutStage::kInForce:
      return "in force";
    case RolloutStage::kFailed:
      return "failed";
    case RolloutStage::kDeposed:
      return "deposed";
  }
  return "unknown";
}

RolloutState StartRollout(const std::string& host, uint64_t owner) {
  RolloutState state;
  state.m_host = host;
  state.m_owner = owner;
  return state;
}

RolloutAction NextStep(RolloutState& state,
                       GateState& gate,
                       const RolloutPlan& plan,
                       TimePoint now) {
  // Set anew below for as long as the load is on its way.
  if (!gate.m_closing)
    state.m_shut_at.reset();
  gate.m_closing = false;
  if (state.m_deposed) {
    Shut(gate);
    return Wait(state, RolloutStage::kDeposed, "a newer process gives orders");
  }
  if (gate.m_doubt != state.m_settled)
    return Ask(state, gate, now);
  if (plan.m_digest.empty())
    return Wait(state, RolloutStage::kIdle, "");
  if (gate.m_open && gate.m_digest == plan.m_digest)
    return Settle(state, plan, now);
  if (state.m_publish_failure) {
    bool denied = false;
    return ChangePermits(state, plan, Purpose::kFail, now, denied);
  }
  if (state.m_shut_for_load && state.m_loading != plan.m_digest) {
    // Declared anew in mid-load: the old version may serve on while the other
    // identity is fetched.
    state.m_loading = plan.m_digest;
    AskAgain(gate);
    return {};
  }
  if (HasFailed(state, plan) && (gate.m_open || now < state.m_retry_at))
    return {};
  if (state.m_fetched != plan.m_digest) {
    if (now < state.m_next_fetch)
      return {};
    state.m_stage = RolloutStage::kFetching;
    RolloutAction fetch = Do(Kind::kFetch);
    fetch.m_digest = plan.m_digest;
    return fetch;
  }
  return gate.m_open ? PrepareToShut(state, gate, plan, now)
                     : LoadWhenDrained(state, gate, plan, now);
}

void Fetched(RolloutState& state, const Digest& digest) {
  state.m_fetched = digest;
  state.m_reason.clear();
}

void FetchFailed(RolloutState& state,
                 const std::string& reason,
                 TimePoint now) {
  state.m_next_fetch = now + kFetchRetry;
  Wait(state, RolloutStage::kFailed, reason);
}

void PermitsRead(RolloutState& state,
                 std::optional<PermitBoard> board,
                 TimePoint now) {
  if (board) {
    Observe(state.m_watch, *board, now);
  } else {
    Forget(state.m_watch);
    state.m_next_read = now + kTableRetry;
    state.m_reason = "the table can't be read";
  }
  state.m_board = std::move(board);
}

void PermitsWritten(RolloutState& state,
                    const GateState& gate,
                    WriteResult result,
                    TimePoint sent,
                    TimePoint now) {
  if (result != WriteResult::kCommitted) {
    // Whether it took effect is seen on the board: a permit that was taken
    // there is renewed by the next try.
    state.m_board.reset();
    state.m_posted = true;
    if (result == WriteResult::kDoubt)
      state.m_next_read = now + kTableRetry;
    return;
  }
  state.m_board = std::move(state.m_writing);
  auto own = state.m_board->m_permits.find(state.m_host);
  state.m_posted = own != state.m_board->m_permits.end();
  state.m_permit = state.m_posted && !own->second.m_failed;
  state.m_publish_failure = false;
  state.m_permit_until = sent + kPermitHold;
  state.m_confirmed = state.m_permit && !gate.m_open && gate.m_running == 0;
}

void FenceMinted(RolloutState& state, uint64_t fence) {
  state.m_fence = fence;
}

void Deposed(RolloutState& state, GateState& gate) {
  state.m_deposed = true;
  // Not renewed any more, so that its place lapses and others go on.
  state.m_permit = false;
  Shut(gate);
}

void OrderEnded(RolloutState& state,
                GateState& gate,
                const std::string& reason) {
  state.m_order_reason = reason;
  Doubt(gate);
}

void EngineAnswered(RolloutState& state,
                    GateState& gate,
                    const RolloutPlan& plan,
                    std::optional<Digest> serves,
                    uint64_t doubt,
                    TimePoint now) {
  if (!serves) {
    AskAgain(gate);
    state.m_next_ask = now + kAskRetry;
    return;
  }
  state.m_engine = *serves;
  if (gate.m_open && gate.m_digest != state.m_engine)
    Doubt(gate);
  // An answer that was under way when a doubt arose says nothing of it.
  if (gate.m_doubt != doubt)
    return;
  state.m_settled = doubt;
  JudgeOrder(state, plan, now);
  if (gate.m_open || state.m_deposed)
    return;
  if (MayReopen(state, plan)) {
    state.m_shut_for_load = false;
    Open(gate, state.m_engine);
  }
}

void EngineSeen(const RolloutState& state,
                GateState& gate,
                std::optional<Digest> serves) {
  if (!gate.m_open || state.m_deposed)
    return;
  if (!serves)
    AskAgain(gate);
  else if (*serves != gate.m_digest)
    Doubt(gate);
}

bool RenewalDue(const RolloutState& state, TimePoint now) {
  return state.m_permit &&
         now >= state.m_permit_until - kPermitHold + kPermitRenewal;
}

std::optional<PermitBoard> Renewed(RolloutState& state,
                                   const PermitBoard& board) {
  PermitBoard next = board;
  ++next.m_revision;
  auto own = next.m_permits.find(state.m_host);
  if (own == next.m_permits.end() || own->second.m_owner != state.m_owner) {
    state.m_permit = false;
    return std::nullopt;
  }
  own->second.m_number = next.m_revision;
  return next;
}

void RenewalWritten(RolloutState& state, TimePoint sent) {
  state.m_board.reset();
  if (state.m_permit)
    state.m_permit_until = std::max(state.m_permit_until, sent + kPermitHold);
}

}  // namespace verbenalead::decide
