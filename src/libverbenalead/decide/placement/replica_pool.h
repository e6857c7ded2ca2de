#ifndef VERBENALEAD_DECIDE_PLACEMENT_REPLICA_POOL_H_
#define VERBENALEAD_DECIDE_PLACEMENT_REPLICA_POOL_H_

#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/admission/organisation_shares.h"
#include "decide/admission/rank_floor.h"
#include "decide/placement/pool_call.h"
#include "decide/placement/replica_state.h"

namespace verbenalead::decide {

/// How an attempt ended, as evidence about the health of its replica.
enum class AttemptEnd {
  kGood,          ///< The replica answered.
  kFailed,        ///< The replica answered with an error.
  kNoSlot,        ///< Its target denied the slot, so nothing was sent.
  kNotRun,        ///< The replica rejected the call.
  kWrongReplica,  ///< Another replica has the address, or the weights differ.
  kUnreachable,   ///< No connection was established.
  kBroken,        ///< The connection broke, or no answer came in time.
  kAbandoned,     ///< The caller left; the result is unknown.
};

/// A replica that is no longer listed, with what it has stated of itself.
struct UnlistedReplica {
  model::Replica m_replica;
  KnownStatements m_known;
  TimePoint m_forget_at{};
};

/// Replicas of one service as one entry sees them, and the calls that wait for
/// a slot at one of them.
///
///     auto replica = AcquireSlot(pool, call, now, random);
///     ...
///     ReleaseSlot(pool, *replica, AttemptEnd::kGood, now);
///     for (const StartedCall& start : StartWaitingCalls(pool, now, random))
///     ...
///
/// Load: a pool at or above its capacity. Harm: a call beyond those that a
/// replica runs at once would wait in the replica's own queue and couldn't move
/// to another replica whose slot comes free earlier. So each replica gets only
/// as many calls as it runs at once. The other calls wait here, get the next
/// free slot of any replica, and are refused once they can no longer be on
/// time.
struct ReplicaPool {
  std::string m_data_center;
  /// Data centres whose replicas get no new calls by order of the operator.
  std::set<std::string> m_evacuated_data_centers;
  std::map<std::string, ReplicaState> m_replicas;
  /// Statements of replicas whose rows have disappeared, by replica.
  ///
  /// Failure: a row expires while the store is away and returns afterwards, as
  /// the replica still serves for a while. Symptom: a replica that had said it
  /// was leaving gets calls again. The row brings the statements back, as it is
  /// of the same incarnation.
  std::map<std::string, UnlistedReplica> m_unlisted;
  /// In order of arrival.
  std::list<PoolCall> m_waiting;
  /// Oldest version of the weights on which calls may begin; 0 for any.
  uint64_t m_required_weights = 0;
  /// Prompt tokens that a replica reads per second; 0 if the service runs no
  /// model.
  double m_prefill_rate = 0;
  /// Whether the speeds of replicas count when calls are placed.
  bool m_by_speed = false;
  /// Run times of this entry's calls at all plain replicas of the pool.
  RunTimeMean m_run_time;
  ColdLimits m_cold_limits;
  /// How long a replica is cold that starts while calls run; 0: replicas that
  /// don't say that they are cold aren't.
  Duration m_cold_start{};
  /// A list of replicas has been applied before.
  bool m_listed = false;
  /// These order the waiting calls where calls have ranks, or organisations
  /// have shares.
  RankFloor m_rank_floor;
  OrganisationShares m_shares;
};

struct StartedCall {
  uint64_t m_ticket = 0;
  std::string m_replica;

  friend bool operator==(const StartedCall&, const StartedCall&) = default;
};

/// Updates the pool from the list of live replicas. A replica that is not
/// listed any more is kept until the `keep_missing_until` of the first update
/// without it, or removed at once if that is past.
void SetReplicas(ReplicaPool& pool,
                 const std::vector<model::Replica>& replicas,
                 TimePoint keep_missing_until,
                 TimePoint now);

/// Removes replicas that are not listed once the time for which they were kept
/// is over. Must be called periodically: the list may stay unchanged, and
/// SetReplicas() uncalled, for many seconds.
void RemoveExpiredReplicas(ReplicaPool& pool, TimePoint now);

/// Sets how many calls cold replicas of the pool take, and for how long one is
/// cold that starts while calls run. What rows say of cold replicas is
/// recorded only while such limits are set.
void SetColdLimits(ReplicaPool& pool,
                   const ColdLimits& limits,
                   Duration cold_start,
                   TimePoint now);

/// Marks all replicas of `data_center` as presumed cold for `cold_start` from
/// `now` on, until a row says otherwise that is newer than `revision`, which is
/// that of the removed row of the evacuation. Returns how many became cold, or
/// are cold for longer than was known.
///
/// Load: an evacuation ends, and the replicas of the data centre are idle.
/// Harm: they seem to have the most room of all, get the calls of all entries
/// at once, and crash if they have become cold meanwhile.
size_t PresumeCold(ReplicaPool& pool,
                   const std::string& data_center,
                   Duration cold_start,
                   model::Revision revision,
                   TimePoint now);

/// The limit of the calls that the replica takes from all entries together, by
/// its statements and while it is cold.
GateLimit LimitOf(const ReplicaPool& pool,
                  const ReplicaState& replica,
                  TimePoint now);

/// Records that the replica is leaving, so that it gets no more calls. Returns
/// false if that was known.
bool NoteLeaving(ReplicaState& replica);

/// Records that the replica has asked this entry to send it nothing for `rest`.
/// Returns false if it is at rest already, which may extend the rest.
///
/// Load: a replica rejects all calls for a while, within a millisecond. Harm:
/// it seems idle, so most calls go there, use up the retries that are allowed,
/// and are refused although other replicas have room. So it gets no calls
/// during its rest and doesn't count as capacity. Afterwards it gets one call,
/// and more at an even rate, until the entry may use all its slots again.
bool NoteRest(ReplicaState& replica,
              Duration rest,
              TimePoint now,
              std::mt19937_64& random);

/// Whether `replica` wants no calls at present, by its own statements, or is in
/// an evacuated data centre.
bool IsUnwanted(const ReplicaPool& pool,
                const std::string& replica,
                TimePoint now);

/// Earliest time from which any replica that `call` may use wants calls, by
/// their own statements; the greatest time if all are leaving or in evacuated
/// data centres. A call that can't wait so long would wait in vain.
TimePoint CallsWantedFrom(const ReplicaPool& pool, const PoolCall& call);

/// Why no replica may get a call, whatever their state is.
enum class Exclusion {
  kNone,        ///< Some replica may get it.
  kRegions,     ///< None is in a region in which the call may be served.
  kEvacuation,  ///< All that are have been evacuated.
};
Exclusion ExclusionOf(const ReplicaPool& pool, const PoolCall& call);

/// Restricts `call`, which is suspected to crash replicas, to one replica that
/// it may use, the same at every entry for calls with the same `key`. Other
/// calls avoid that replica for a while. No replica: the call isn't restricted.
void Isolate(ReplicaPool& pool, PoolCall& call, uint64_t key, TimePoint now);

/// Acquires a slot for `call` at the replica that suits it best, and returns
/// the replica's id; absent if no slot is free.
std::optional<std::string> AcquireSlot(ReplicaPool& pool,
                                       const PoolCall& call,
                                       TimePoint now,
                                       std::mt19937_64& random);
/// Up to `count` replicas at whose targets `call` should wait for a slot, the
/// best first, and one more that waits for a token of its rate limit, if there
/// is any. They need not have a free slot.
std::vector<std::string> ReplicasToWaitAt(const ReplicaPool& pool,
                                          const PoolCall& call,
                                          size_t count,
                                          TimePoint now,
                                          std::mt19937_64& random);
/// Counts a slot that the target of `replica` has granted to a waiting call.
/// Returns false if the replica is no longer known, wants no more calls now, or
/// may not get `call`.
bool AddGrantedSlot(ReplicaPool& pool,
                    const std::string& replica,
                    const PoolCall& call,
                    TimePoint now);
/// Adds `call` to the waiting calls.
void AddWaitingCall(ReplicaPool& pool, PoolCall call);
/// Removes a waiting call: it got a slot from a target, its caller left, or its
/// wait limit passed.
void RemoveWaitingCall(ReplicaPool& pool, uint64_t ticket);
/// Acquires free slots for waiting calls and returns the calls that got one:
/// on-time calls first, of these the more urgent rank, of these the
/// organisation that has had the least of the replicas' time, of these the
/// earliest.
std::vector<StartedCall> StartWaitingCalls(ReplicaPool& pool,
                                           TimePoint now,
                                           std::mt19937_64& random);

/// Records the run time of a call that a plain replica has answered.
void NoteRunTime(ReplicaPool& pool,
                 ReplicaState& replica,
                 Duration run,
                 TimePoint now);

/// Records that a call with `prompt_tokens` has begun to answer, so that its
/// prompt has been read.
void NotePromptRead(ReplicaPool& pool,
                    const std::string& replica,
                    uint32_t prompt_tokens);

/// NoteSlotRequestSent() records that a slot request was sent to the target of
/// `replica`, NoteSlotRequestDone() that the target answered it or that the
/// answer is no longer awaited.
void NoteSlotRequestSent(ReplicaPool& pool,
                         const std::string& replica,
                         uint32_t prompt_tokens);
void NoteSlotRequestDone(ReplicaPool& pool,
                         const std::string& replica,
                         uint32_t prompt_tokens);

/// Releases a slot and updates the health of the replica from how the attempt
/// ended.
void ReleaseSlot(ReplicaPool& pool,
                 const std::string& replica,
                 AttemptEnd end,
                 TimePoint now);

/// Records that a replica with a rate limit had no token for a call: it gets no
/// calls for `hold_off`.
void HoldBack(ReplicaState& replica, Duration hold_off, TimePoint now);

/// Time until a replica takes calls again, and whether a rest is among the
/// reasons; otherwise it is rate limits alone.
struct StatedWait {
  Duration m_left{};
  bool m_rests = false;

  friend bool operator==(const StatedWait&, const StatedWait&) = default;
};

/// If the only replicas that could take `call` are at rest, or have rate limits
/// and no token at present: the time until one may take a call. Otherwise
/// nothing.
std::optional<StatedWait> WaitForReplica(const ReplicaPool& pool,
                                         const PoolCall& call,
                                         TimePoint now);

/// Whether `call`, if it waits from now on, might start by `deadline`. False if
/// only replicas with rate limits can be used by then, and these don't allow as
/// many requests as wait for them at this entry alone; or if no replica that it
/// may use wants calls. It would only wait in vain, so it should be refused at
/// once.
bool MayStartBy(const ReplicaPool& pool,
                const PoolCall& call,
                TimePoint deadline,
                TimePoint now);

/// Whether any replica may get calls, or `call`, whether or not it has a free
/// slot.
bool HasUsableReplica(const ReplicaPool& pool, TimePoint now);
bool HasUsableReplica(const ReplicaPool& pool,
                      const PoolCall& call,
                      TimePoint now);

/// Slots of all usable replicas, or of those that `call` may use, and how many
/// of them are in use. Of a cold replica only those slots count that its calls
/// use or may use soon.
struct PoolLoad {
  uint32_t m_slots = 0;
  uint32_t m_used_slots = 0;
};
PoolLoad LoadOf(const ReplicaPool& pool, TimePoint now);
PoolLoad LoadOf(const ReplicaPool& pool, const PoolCall& call, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_REPLICA_POOL_H_
