#ifndef VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_
#define VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/membership/summary_route.h"

namespace verbenalead::decide {

/// Returns the host of the entry that holds the token bucket of a replica that
/// has no target process, or nothing if no entry can.
///
/// It is one of the entries that take calls and were seen recently, in the data
/// centre of the replica if there are any: entries of one data centre hear of
/// each other at once, so that all agree on the holder soon after one has died.
/// Each replica has its own holder, chosen by rendezvous hashing, so that the
/// requests for tokens are spread over the entries and few replicas get another
/// holder when an entry starts or stops.
///
/// Two entries may choose different holders for a moment. A process answers
/// only if it is the holder by its own choice, and a new holder starts with an
/// empty bucket, so a replica gets at most twice its rate for that moment.
std::optional<std::string> RateHolder(const std::string& replica,
                                      const std::string& data_center,
                                      const std::vector<SummaryPeer>& entries);

/// Since when a process has held the token bucket of a cold replica without
/// interruption.
///
/// Failure: the holder pauses, another entry takes over, and the first one goes
/// on; or an entry starts and takes over from one that hasn't heard of it yet.
/// Symptom: a cold replica gets the calls of two buckets in the same second,
/// and crashes. So a holder waits until the one before it must have noticed the
/// change and its last calls have arrived.
struct HolderTerm {
  TimePoint m_began_at{};
  TimePoint m_confirmed_at{};
};

/// A longer time between two confirmations begins a new term: the process may
/// have been paused. Others take over after 1.3 s without an update.
constexpr Duration kMaxTermGap = 800ms;
/// Time from the beginning of a term until the holder grants tokens: 1.3 s
/// until the one before it has noticed, 100 ms for its last calls, and 100 ms
/// margin.
constexpr Duration kTermPause = 1500ms;

/// Records that the process holds the bucket at `now`; returns true if a new
/// term begins.
bool ConfirmTerm(HolderTerm& term, TimePoint now);
/// Time until the holder may grant tokens; zero if it may.
Duration TermPauseLeft(const HolderTerm& term, TimePoint now);

/// Whom another entry took for the holder when it was last heard.
struct HolderClaim {
  std::string m_holder;
  TimePoint m_heard_at{};
};

/// Time for which a claim counts: three update intervals of 400 ms, and 100 ms
/// for the delay of an update.
constexpr Duration kClaimLifetime = 1300ms;

/// Whether `self`, which takes itself for the holder, is so by more than half
/// of the entries that were heard recently, itself included. `claims`: what
/// each of the others claimed last.
///
/// Failure: an entry doesn't hear the holder, which hears it and all others.
/// Symptom: it takes itself for the holder for as long as the link is cut, and
/// a cold replica gets the calls of two buckets. The others that it hears know
/// better; until they agree, it sends the replica nothing.
bool IsAgreedHolder(const std::map<std::string, HolderClaim>& claims,
                    const std::string& self,
                    TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_
