#ifndef VERBENALEAD_DECIDE_CRASH_SUSPECTS_H_
#define VERBENALEAD_DECIDE_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Requests under which replicas broke off.
///
/// Failure: one request crashes each replica that begins it, and its caller
/// sends it again at any entry. Symptom: replicas go down one after the other.
/// A request is known by what stays the same when it comes again; once three
/// incarnations have broken off under it, at whatever entries, it is refused
/// everywhere. Replicas lose answers for other reasons too; three breaks under
/// one request within the time below don't happen by chance at the loss rates
/// that the users name, and a wrong verdict ends with that time.
struct CrashSuspects {
  struct Suspect {
    /// Incarnations of replicas, each with the last time it was told.
    std::map<std::string, TimePoint> m_replicas;
  };
  std::map<uint64_t, Suspect> m_suspects;
  /// Requests that were answered after a break: not they broke the replica.
  std::map<uint64_t, TimePoint> m_cleared;
};

/// What one entry tells the others.
struct CrashNote {
  uint64_t m_fingerprint = 0;
  std::string m_replica;

  friend auto operator<=>(const CrashNote&, const CrashNote&) = default;
};

/// Replicas that a request must have broken before it is refused.
constexpr size_t kCrashesToRefuse = 3;
/// How long a break is held against a request.
constexpr Duration kCrashMemory = 60s;

/// What identifies a request when it comes again.
uint64_t Fingerprint(const std::string& organisation,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body);

void NoteCrash(CrashSuspects& suspects, const CrashNote& note, TimePoint now);
/// The request was answered: what broke replicas under it was something else.
void NoteAnswered(CrashSuspects& suspects, uint64_t fingerprint, TimePoint now);
bool IsRefused(const CrashSuspects& suspects,
               uint64_t fingerprint,
               TimePoint now);
/// What the other entries should know: notes younger than `age`.
std::vector<CrashNote> RecentNotes(const CrashSuspects& suspects,
                                   Duration age,
                                   TimePoint now);
void ForgetOldCrashes(CrashSuspects& suspects, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CRASH_SUSPECTS_H_
