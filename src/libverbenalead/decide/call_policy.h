#ifndef VERBENALEAD_DECIDE_CALL_POLICY_H_
#define VERBENALEAD_DECIDE_CALL_POLICY_H_

#include <cstdint>
#include <random>

#include "decide/call_progress.h"
#include "decide/quarantine.h"
#include "decide/replica_pool.h"
#include "model/engine_profile.h"
#include "model/inbound_call.h"
#include "model/route.h"

namespace verbenalead::decide {

/// Whether another run does no harm.
bool MayRunAgain(const CallProgress& progress);

/// Whether the call may go to another replica after an attempt that ended as
/// `end`.
bool MayTryAgain(const CallProgress& progress, AttemptEnd end);

/// How long ago, at least, a caller began that has `left`, where callers of the
/// same kind have had up to `longest`.
///
/// Callers of one kind don't all wait equally long. Taken by the longest alone,
/// first tries of less patient callers would seem to be second ones that can't
/// be on time any more, and would wait behind the others. Only what is well
/// below the longest is known to be a second try.
Duration KnownElapsed(Duration longest, Duration left);

/// How long a call may wait for a place.
struct Patience {
  Duration m_wait{};
  /// It can still be on time if it starts within `m_wait`.
  bool m_fresh = true;
  /// Time within which its prompt, and all before it, must be read for that.
  Duration m_read{};
};

/// Patience of a call that its caller began `elapsed` ago.
///
/// Made for a pool at its limit. A call that starts too late to be on time
/// takes the same time of a replica as one that is on time and is worth a
/// quarter of it; so calls wait only as long as they can still make it, and
/// those that can't any more, such as a caller's second try, only get places
/// that nobody else waits for. `share`: the part of that time for which
/// calls of the service wait.
Patience PatienceFor(const model::Route& route,
                     const model::EngineProfile* engine,
                     const model::InboundCall& call,
                     Duration elapsed,
                     double share);

/// How long a call is likely to run at a busy replica, by its caller's guess of
/// the output; zero where it made none.
Duration RunTime(const model::EngineProfile& engine,
                 const model::InboundCall& call);

/// Why a call is refused before it ran.
enum class Refusal {
  kNotReady,   ///< This entry doesn't know enough; others may.
  kNoReplica,  ///< No replica is usable.
  kFull,       ///< All replicas are full.
  kCrashes,    ///< The request crashed replicas.
};

const char* ToString(Refusal refusal);

/// When the caller should come back.
Duration RetryAfter(Refusal refusal, std::mt19937_64& random);

/// How long a repeat may wait for a place.
constexpr Duration kRepeatWait = 300ms;

/// How long one may wait whose call has run: it can't be told that it didn't,
/// so a late answer is all that its caller can still get. Callers leave a
/// stream after a pause of two seconds or more.
constexpr Duration kRepeatWaitAfterRun = 1500ms;

/// How long a repeat waits for a place, by how far its call has come.
inline Duration RepeatWait(const CallProgress& progress) {
  return progress.m_runs > 0 ? kRepeatWaitAfterRun : kRepeatWait;
}

/// Fits `call`, which was broken off or turned away, to its next placing.
///
/// Failure: a call is broken off before its first event, by a replica that
/// loads weights, say. Symptom: the time within which its prompt had to be read
/// is over, so it fits no replica, waits beside free places and fails. It goes
/// on as one that can't be on time any more, which takes what places others
/// leave.
void PrepareRepeat(PoolCall& call, double prefill_rate, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CALL_POLICY_H_
