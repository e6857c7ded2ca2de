#ifndef VERBENALEAD_DECIDE_ADMISSION_CALL_POLICY_H_
#define VERBENALEAD_DECIDE_ADMISSION_CALL_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>

#include "decide/admission/call_progress.h"
#include "decide/health/quarantine.h"
#include "decide/placement/replica_pool.h"
#include "model/engine_profile.h"
#include "model/inbound_call.h"
#include "model/route.h"

namespace verbenalead::decide {

/// Whether running the call a second time does no harm: it is idempotent, or a
/// stream that can be resumed.
bool IsRerunSafe(const CallProgress& progress);

/// Whether the call may be retried at another replica after an attempt that
/// ended as `end`. A call that may have run is retried only if IsRerunSafe()
/// allows it.
bool MayRetry(const CallProgress& progress, AttemptEnd end);

/// Lower bound of the time since a caller began, computed from the time that it
/// has `left`. `longest` is the longest time that callers of the same kind have
/// had.
///
/// Callers of one kind don't all set the same time-out. If each were compared
/// with the longest time-out alone, first attempts of callers with a shorter
/// one would look like retries that can no longer be on time, and would be
/// queued behind all other calls. So a call counts as a retry only if its
/// remaining time is well below the longest.
Duration MinElapsed(Duration longest, Duration left);

/// How long a call may wait for a slot at a replica.
struct WaitLimit {
  Duration m_wait{};
  /// The call can still meet its latency objective if it starts within
  /// `m_wait`.
  bool m_can_be_on_time = true;
  /// Time within which the call's prompt, and all prompts queued before it,
  /// must be read for that.
  Duration m_read_within{};
};

/// Wait limit of a call whose caller began `elapsed` ago.
///
/// Load: a pool at its capacity. Harm: a call that starts too late to be on
/// time takes as much of a replica's time as one that is on time, but is worth
/// only a quarter of it. So a call waits only as long as it can still be on
/// time. Calls that no longer can, such as a caller's retry, only get slots for
/// which no other call waits. `share` is the part of the remaining time for
/// which calls of the service wait, see WaitShare.
WaitLimit WaitLimitFor(const model::Route& route,
                       const model::EngineProfile* engine,
                       const model::InboundCall& call,
                       Duration elapsed,
                       double share);

/// Expected run time of a call at a busy replica, from the caller's estimate of
/// the output length; zero if the caller gave none.
Duration ExpectedRunTime(const model::EngineProfile& engine,
                         const model::InboundCall& call);

/// Why a call is refused before it ran.
enum class Refusal {
  kNotReady,    ///< This entry stops or lacks configuration.
  kNoReplica,   ///< No replica is usable.
  kLoading,     ///< No replica is usable until some have loaded weights.
  kRegions,     ///< No replica is in a region in which the call may be served.
  kEvacuation,  ///< All replicas that may get the call are evacuated.
  kFull,        ///< All replicas are full.
  kRateLimit,   ///< All replicas have rate limits that are used up.
  kRest,        ///< All replicas have asked this entry for a rest.
  kCrashes,     ///< The request crashed replicas.
};

const char* ToString(Refusal refusal);

/// Delay after which a refused caller should retry. It is random, so that
/// callers that were refused together don't return together, except for
/// kCrashes. If it is known when a replica takes calls again, it counts from
/// then.
Duration RetryAfter(Refusal refusal, std::mt19937_64& random);

/// Delay after which a caller that was refused as kFull should retry, if the
/// overload is expected to last for `expected`; absent: unknown. The call has
/// rank number `position`, 0 is the most urgent, of the `ranks` of its service.
///
/// The delay is random around that time, so that the callers return one after
/// the other, those of more urgent ranks in the earlier part of it.
Duration RetryAfterOverload(std::optional<Duration> expected,
                            size_t position,
                            size_t ranks,
                            std::mt19937_64& random);

/// How long a retried call may wait for a slot if it has not run yet.
constexpr Duration kRetryWait = 300ms;

/// How long a retried call may wait for a slot if an earlier attempt may have
/// run. Such a call can't be reported as not run, so a late answer is the best
/// that its caller can still get. Callers abandon a stream that pauses for two
/// seconds or more.
constexpr Duration kRetryWaitAfterRun = 1500ms;

/// How long a retried call may wait for a slot, by whether it may have run.
inline Duration RetryWait(const CallProgress& progress) {
  return progress.m_possible_runs > 0 ? kRetryWaitAfterRun : kRetryWait;
}

/// Adjusts `call`, whose last attempt was cut off or rejected, before it is
/// retried.
///
/// Failure: an attempt is cut off before its first event, for example by a
/// replica that loads weights. Symptom: the deadline for reading the call's
/// prompt has passed, so the call fits no replica, waits while slots are free,
/// and fails. If its prompt can no longer be read by that deadline, the call is
/// therefore retried as a late one, without the deadline, and takes slots that
/// on-time calls leave free.
void PrepareRetry(PoolCall& call, double prefill_rate, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_CALL_POLICY_H_
