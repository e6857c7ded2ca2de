#include "decide/rollout/rollout.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

using Kind = RolloutAction::Kind;

constexpr Duration kStatusRetryDelay = 200ms;
constexpr Duration kFetchRetryDelay = 500ms;
/// Delay before a failed load is retried. A load that failed for lack of memory
/// or because of a driver rarely succeeds immediately afterwards.
constexpr Duration kLoadRetryDelay = 2s;
constexpr Duration kTableRetryDelay = 500ms;
/// How long a host reports its gate as shut before it shuts. Entries poll the
/// status of each target four times per second by default. Without a notice, in
/// a fast rollout under steady load, 44 of 1,633 requests were refused: each
/// was sent to three hosts in turn whose version had changed since their last
/// report. Four polling intervals leave room for a late status.
constexpr Duration kShutNotice = 1s;
/// A host that waits for a permit reads the permits at an interval of this
/// value times the number of hosts, but of kMinReadInterval at least. All
/// waiting hosts of a pool together then read them at most 200 times per
/// second, a tenth of the reads that the table sustains. A free permit is still
/// found within milliseconds.
constexpr Duration kReadIntervalPerHost = 5ms;
constexpr Duration kMinReadInterval = 100ms;

/// If an engine reports an order as done but serves another version, it has
/// executed a delayed order of this process or of an earlier one. The declared
/// version isn't at fault, so the order is retried instead of stopping the
/// rollout. Only few orders can be delayed at a time; an engine that exceeds
/// this limit doesn't load the version that it is ordered to load, and the load
/// counts as failed.
constexpr uint32_t kMaxStaleOrders = 3;

enum class Purpose { kAcquire, kRecordFailure, kRelease };

RolloutAction Do(Kind kind) {
  RolloutAction action;
  action.m_kind = kind;
  return action;
}

RolloutAction Ask(const RolloutState& state,
                  const GateState& gate,
                  TimePoint now) {
  RolloutAction action;
  if (now < state.m_next_status_query)
    return action;
  action.m_kind = Kind::kQueryEngine;
  action.m_status_epoch = gate.m_status_epoch;
  return action;
}

RolloutAction Wait(RolloutState& state,
                   RolloutStage stage,
                   const std::string& reason) {
  state.m_stage = stage;
  state.m_reason = reason;
  return {};
}

/// Changes this host's permit in `permits`. Returns false if there is nothing
/// to write.
bool ChangeOwnPermit(RolloutState& state,
                     const RolloutPlan& plan,
                     Purpose purpose,
                     LoadPermits& permits) {
  auto own = permits.m_permits.find(state.m_host);
  if (purpose == Purpose::kRelease) {
    // A permit of an earlier run of this host is erased, too; one of a later
    // run has to stay.
    state.m_permit_may_be_stored =
        own != permits.m_permits.end() && own->second.m_owner <= state.m_owner;
    if (state.m_permit_may_be_stored)
      permits.m_permits.erase(own);
    return state.m_permit_may_be_stored;
  }
  if (purpose == Purpose::kRecordFailure && own != permits.m_permits.end() &&
      own->second.m_owner > state.m_owner) {
    state.m_failure_unrecorded = false;
    return false;
  }
  LoadPermit permit;
  permit.m_digest = plan.m_digest;
  permit.m_plan = plan.m_revision;
  permit.m_owner = state.m_owner;
  permit.m_number = permits.m_revision;
  if (purpose == Purpose::kRecordFailure) {
    // Record the version and plan that failed rather than the current ones. The
    // failure of a plan must not stop the plan that replaces it.
    permit.m_digest = state.m_failed;
    permit.m_plan = state.m_failed_plan;
    permit.m_failed = true;
    permit.m_reason = state.m_failure;
  }
  permits.m_permits[state.m_host] = std::move(permit);
  return true;
}

/// Returns the action that reads the permits or, once they have been read, the
/// one that writes them with the change for `purpose`. Sets `denied` if no
/// permit is available now.
RolloutAction ChangePermits(RolloutState& state,
                            const RolloutPlan& plan,
                            Purpose purpose,
                            TimePoint now,
                            bool& denied) {
  if (!state.m_load_permits)
    return now < state.m_next_read ? RolloutAction() : Do(Kind::kReadPermits);
  LoadPermits next = *state.m_load_permits;
  ++next.m_revision;
  if (purpose == Purpose::kAcquire) {
    const PermitDecision decision = DecidePermit(
        next, state.m_permit_tracker, state.m_host, state.m_owner, plan, now);
    if (decision.m_answer != PermitVerdict::kGranted) {
      denied = true;
      state.m_reason = decision.m_reason;
      state.m_load_permits.reset();
      state.m_next_read =
          now + std::max<Duration>(kMinReadInterval, kReadIntervalPerHost *
                                                         int64_t{plan.m_hosts});
      return {};
    }
    EraseLapsed(next, state.m_permit_tracker, now);
  }
  if (!ChangeOwnPermit(state, plan, purpose, next)) {
    state.m_permit = false;
    return {};
  }
  // A released permit must not be used from the moment at which the write is
  // sent: if the answer is lost, another host may already have acquired a
  // permit instead.
  if (purpose != Purpose::kAcquire)
    state.m_permit = false;
  state.m_pending_write = next;
  RolloutAction action = Do(Kind::kWritePermits);
  action.m_load_permits = std::move(next);
  return action;
}

bool HasFailed(const RolloutState& state, const RolloutPlan& plan) {
  return state.m_failed == plan.m_digest &&
         state.m_failed_plan == plan.m_revision;
}

RolloutAction FinishRollout(RolloutState& state,
                            const RolloutPlan& plan,
                            TimePoint now) {
  state.m_failed = {};
  state.m_stale_orders = 0;
  state.m_failure_unrecorded = false;
  state.m_shut_for_load = false;
  Wait(state, RolloutStage::kInForce, "");
  if (!state.m_permit_may_be_stored)
    return {};
  bool denied = false;
  return ChangePermits(state, plan, Purpose::kRelease, now, denied);
}

/// Takes the steps that are possible while the gate is open, then shuts it.
RolloutAction PrepareToShut(RolloutState& state,
                            GateState& gate,
                            const RolloutPlan& plan,
                            TimePoint now) {
  if (!state.m_permit || now >= state.m_permit_until) {
    Wait(state, RolloutStage::kWaiting, state.m_reason);
    bool denied = false;
    RolloutAction action =
        ChangePermits(state, plan, Purpose::kAcquire, now, denied);
    gate.m_closing = state.m_notice_end && !denied;
    return action;
  }
  if (state.m_fencing_token == 0)
    return Do(Kind::kMintFencingToken);
  gate.m_closing = true;
  if (!state.m_notice_end) {
    state.m_notice_end = now + kShutNotice;
    state.m_permits_rechecked = false;
  }
  if (now < *state.m_notice_end)
    return Wait(state, RolloutStage::kLoading, "");
  if (!state.m_permits_rechecked) {
    // During the notice, a load may have failed at another host, or an operator
    // may have paused the rollout. The permits are read again while the gate
    // is still open, so that the host continues to serve in these cases.
    state.m_permits_rechecked = true;
    state.m_permit = false;
    state.m_load_permits.reset();
    return {};
  }
  state.m_notice_end.reset();
  // The permit was checked in this step. A process that is suspended after this
  // point has its gate shut and appears to its callers as an unresponsive host.
  // A process that was suspended earlier finds its permit expired in the check
  // above and acquires it again.
  state.m_previous_version = gate.m_digest;
  state.m_loading_digest = plan.m_digest;
  state.m_shut_for_load = true;
  state.m_permit_confirmed = false;
  Shut(gate);
  return Wait(state, RolloutStage::kLoading, "");
}

/// Orders the load once the gate is shut and no attempt is running.
RolloutAction LoadWhenDrained(RolloutState& state,
                              GateState& gate,
                              const RolloutPlan& plan,
                              TimePoint now) {
  Wait(state, RolloutStage::kLoading, "");
  if (gate.m_running > 0)
    return {};
  if (state.m_fencing_token == 0)
    return Do(Kind::kMintFencingToken);
  const bool held =
      state.m_permit && state.m_permit_confirmed && now < state.m_permit_until;
  if (state.m_shut_for_load && !held) {
    // Draining may have taken long, or this process may have been suspended. If
    // its permit has lapsed and was acquired by another host, no order is sent
    // and the gate opens for the previous version again.
    bool denied = false;
    RolloutAction action =
        ChangePermits(state, plan, Purpose::kAcquire, now, denied);
    if (!denied)
      return action;
    state.m_permit = false;
    state.m_shut_for_load = false;
    RequireStatus(gate);
    return {};
  }
  RolloutAction order = Do(Kind::kOrder);
  order.m_digest = plan.m_digest;
  order.m_fencing_token = state.m_fencing_token;
  // A fencing token is never reused, so that an order whose answer was lost
  // can't be mistaken for the next order.
  state.m_fencing_token = 0;
  state.m_ordered_version = plan.m_digest;
  state.m_ordered_revision = plan.m_revision;
  return order;
}

void EvaluateOrder(RolloutState& state,
                   const RolloutPlan& plan,
                   TimePoint now) {
  if (state.m_ordered_version.empty())
    return;
  const bool serves_other = state.m_engine != state.m_ordered_version &&
                            state.m_ordered_version == plan.m_digest;
  const bool stale_order = serves_other && state.m_order_reason.empty() &&
                           ++state.m_stale_orders <= kMaxStaleOrders;
  if (serves_other && !stale_order) {
    state.m_failed = plan.m_digest;
    state.m_failed_plan = state.m_ordered_revision;
    state.m_retry_at = now + kLoadRetryDelay;
    state.m_failure_unrecorded |= state.m_permit;
    state.m_failure = state.m_order_reason.empty()
                          ? "the engine serves another version"
                          : state.m_order_reason;
    Wait(state, RolloutStage::kFailed, state.m_failure);
  }
  state.m_ordered_version = {};
}

bool MayReopen(const RolloutState& state, const RolloutPlan& plan) {
  return !state.m_engine.empty() &&
         (plan.m_declared.contains(state.m_engine) ||
          state.m_engine == state.m_previous_version);
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
    case RolloutStage::kSuperseded:
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
  // PrepareToShut() sets m_closing again as long as a load is about to start.
  if (!gate.m_closing)
    state.m_notice_end.reset();
  gate.m_closing = false;
  if (state.m_superseded) {
    Shut(gate);
    return Wait(state, RolloutStage::kSuperseded,
                "a newer process gives orders");
  }
  if (gate.m_status_epoch != state.m_resolved_epoch)
    return Ask(state, gate, now);
  if (plan.m_digest.empty())
    return Wait(state, RolloutStage::kIdle, "");
  if (gate.m_open && gate.m_digest == plan.m_digest)
    return FinishRollout(state, plan, now);
  if (state.m_failure_unrecorded) {
    bool denied = false;
    return ChangePermits(state, plan, Purpose::kRecordFailure, now, denied);
  }
  if (state.m_shut_for_load && state.m_loading_digest != plan.m_digest) {
    // Another version was declared after the gate was shut. The previous
    // version may continue to be served while the newly declared one is
    // fetched.
    state.m_loading_digest = plan.m_digest;
    RequireStatus(gate);
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
  state.m_next_fetch = now + kFetchRetryDelay;
  Wait(state, RolloutStage::kFailed, reason);
}

void PermitsRead(RolloutState& state,
                 std::optional<LoadPermits> permits,
                 TimePoint now) {
  if (permits) {
    Observe(state.m_permit_tracker, *permits, now);
  } else {
    ClearObservations(state.m_permit_tracker);
    state.m_next_read = now + kTableRetryDelay;
    state.m_reason = "the table can't be read";
  }
  state.m_load_permits = std::move(permits);
}

void PermitsWritten(RolloutState& state,
                    const GateState& gate,
                    WriteResult result,
                    TimePoint sent,
                    TimePoint now) {
  if (result != WriteResult::kCommitted) {
    // Reading the permits again shows whether the write took effect. If it did,
    // the next attempt renews the acquired permit.
    state.m_load_permits.reset();
    state.m_permit_may_be_stored = true;
    if (result == WriteResult::kDoubt)
      state.m_next_read = now + kTableRetryDelay;
    return;
  }
  state.m_load_permits = std::move(state.m_pending_write);
  auto own = state.m_load_permits->m_permits.find(state.m_host);
  state.m_permit_may_be_stored = own != state.m_load_permits->m_permits.end();
  state.m_permit = state.m_permit_may_be_stored && !own->second.m_failed;
  state.m_failure_unrecorded = false;
  state.m_permit_until = sent + kPermitHoldTime;
  state.m_permit_confirmed =
      state.m_permit && !gate.m_open && gate.m_running == 0;
}

void FencingTokenMinted(RolloutState& state, uint64_t fence) {
  state.m_fencing_token = fence;
}

void Superseded(RolloutState& state, GateState& gate) {
  state.m_superseded = true;
  // The permit is no longer renewed, so that it lapses and other hosts can
  // continue the rollout.
  state.m_permit = false;
  Shut(gate);
}

void OrderEnded(RolloutState& state,
                GateState& gate,
                const std::string& reason) {
  state.m_order_reason = reason;
  InvalidateVersion(gate);
}

void EngineStatusReceived(RolloutState& state,
                          GateState& gate,
                          const RolloutPlan& plan,
                          std::optional<Digest> serves,
                          uint64_t epoch,
                          TimePoint now) {
  if (!serves) {
    RequireStatus(gate);
    state.m_next_status_query = now + kStatusRetryDelay;
    return;
  }
  state.m_engine = *serves;
  if (gate.m_open && gate.m_digest != state.m_engine)
    InvalidateVersion(gate);
  // A status requested before the last increment of m_status_epoch doesn't show
  // the engine's state after the event that caused it.
  if (gate.m_status_epoch != epoch)
    return;
  state.m_resolved_epoch = epoch;
  EvaluateOrder(state, plan, now);
  if (gate.m_open || state.m_superseded)
    return;
  if (MayReopen(state, plan)) {
    state.m_shut_for_load = false;
    Open(gate, state.m_engine);
  }
}

void EnginePolled(const RolloutState& state,
                  GateState& gate,
                  std::optional<Digest> serves) {
  if (!gate.m_open || state.m_superseded)
    return;
  if (!serves)
    RequireStatus(gate);
  else if (*serves != gate.m_digest)
    InvalidateVersion(gate);
}

bool RenewalDue(const RolloutState& state, TimePoint now) {
  return state.m_permit &&
         now >= state.m_permit_until - kPermitHoldTime + kPermitRenewalInterval;
}

std::optional<LoadPermits> WithPermitRenewed(RolloutState& state,
                                             const LoadPermits& permits) {
  LoadPermits next = permits;
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
  state.m_load_permits.reset();
  if (state.m_permit)
    state.m_permit_until =
        std::max(state.m_permit_until, sent + kPermitHoldTime);
}

}  // namespace verbenalead::decide
