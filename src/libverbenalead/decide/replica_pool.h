#ifndef VERBENALEAD_DECIDE_REPLICA_POOL_H_
#define VERBENALEAD_DECIDE_REPLICA_POOL_H_

#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/pool_call.h"
#include "decide/replica_state.h"

namespace verbenalead::decide {

/// How an attempt ended, as far as it speaks of its replica.
enum class AttemptEnd {
  kGood,         ///< It answered.
  kFailed,       ///< It answered with a failure of its own.
  kNotRun,       ///< It turned the call away; it works, but is full.
  kWrongHost,    ///< Somebody else has its address, or it has other weights.
  kUnreachable,  ///< No connection was made.
  kBroken,       ///< The connection broke, or nothing came in time.
  kAbandoned,    ///< The caller left; nothing is known.
};

/// The replicas of one service as one entry sees them, and the calls that wait
/// for a place at one of them.
///
///     auto decision = Arrive(pool, call, now, random);
///     ...
///     Release(pool, replica, AttemptEnd::kGood, now);
///     for (const PoolStart& start : StartWaiting(pool, now, random)) ...
///
/// Made for a pool at or above what it can do: each replica gets as many calls
/// as it runs at once, for one more would wait there in a queue that nobody can
/// leave; the others wait here, where the next free place of any replica takes
/// them, and are refused once they can't be on time any more.
struct ReplicaPool {
  /// Data centre of this entry.
  std::string m_data_center;
  std::map<std::string, ReplicaState> m_replicas;
  /// In the order in which they came.
  std::list<PoolCall> m_waiting;
  /// Replicas with older weights get no calls; 0: any may.
  uint64_t m_required_weights = 0;
  /// Prompt tokens that a replica reads in a second; 0: a plain service.
  double m_prefill_rate = 0;
};

/// Whether a replica that has `calls` and `unread` prompt tokens takes one call
/// more.
bool HasRoom(uint32_t slots,
             double prefill_rate,
             uint32_t calls,
             uint64_t unread);

struct PoolStart {
  uint64_t m_ticket = 0;
  std::string m_replica;

  friend bool operator==(const PoolStart&, const PoolStart&) = default;
};

/// Takes over the list of live replicas. `keep_missing_until`: where it lies in
/// the future, replicas that are absent are kept until then.
void SetReplicas(ReplicaPool& pool,
                 const std::vector<model::Replica>& replicas,
                 TimePoint keep_missing_until,
                 TimePoint now);

/// Lets go of replicas that were kept though they are missing, once their time
/// is over. To be called now and then, since no news may come: the list may
/// stay as it is for many seconds.
void DropMissing(ReplicaPool& pool, TimePoint now);

/// A place for `call` at once, or nothing; the place is taken.
std::optional<std::string> TakePlace(ReplicaPool& pool,
                                     const PoolCall& call,
                                     TimePoint now,
                                     std::mt19937_64& random);
/// Replicas, `count` at most, at whose targets `call` had best wait for a place
/// though none has room.
std::vector<std::string> WaitingPlaces(const ReplicaPool& pool,
                                       const PoolCall& call,
                                       size_t count,
                                       TimePoint now,
                                       std::mt19937_64& random);
/// The target of `replica` has granted a place to a call that waited there.
/// False: the replica isn't known any more.
bool TakeGranted(ReplicaPool& pool,
                 const std::string& replica,
                 uint32_t prompt_tokens);
/// Lets `call` wait.
void Wait(ReplicaPool& pool, PoolCall call);
/// The caller of a waiting call left, or it waited long enough.
void StopWaiting(ReplicaPool& pool, uint64_t ticket);
/// Waiting calls that have a place now.
std::vector<PoolStart> StartWaiting(ReplicaPool& pool,
                                    TimePoint now,
                                    std::mt19937_64& random);

/// The call with `prompt_tokens` has begun to answer: its prompt is read.
void NoteBegun(ReplicaPool& pool,
               const std::string& replica,
               uint32_t prompt_tokens);

/// The target of `replica` is asked for a place, and has answered or won't.
void NoteAsked(ReplicaPool& pool,
               const std::string& replica,
               uint32_t prompt_tokens);
void NoteAnswer(ReplicaPool& pool,
                const std::string& replica,
                uint32_t prompt_tokens);

/// Gives a place back and learns from how the attempt ended.
void Release(ReplicaPool& pool,
             const std::string& replica,
             AttemptEnd end,
             TimePoint now);

/// Whether any replica could take calls, were it not full.
bool HasUsableReplica(const ReplicaPool& pool, TimePoint now);

/// Calls that the usable replicas run at once, and those that they run now.
struct PoolLoad {
  uint32_t m_places = 0;
  uint32_t m_taken = 0;
};
PoolLoad LoadOf(const ReplicaPool& pool, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REPLICA_POOL_H_
