#ifndef VERBENALEAD_DECIDE_HEALTH_CRASH_CAUSES_H_
#define VERBENALEAD_DECIDE_HEALTH_CRASH_CAUSES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/health/crash_report.h"
#include "decide/health/recent_count.h"

namespace verbenalead::decide {

/// When a part of prompts is blocked, and for how long.
struct CrashCauseLimits {
  /// Crashes under a part with which no request has been answered.
  double m_crashes = 3;
  /// Crashes since a request with the part was last answered. More, since the
  /// part is known not to crash every replica.
  double m_crashes_after_answer = 5;
  /// Time after which a suspected crash counts, unless the replica has answered
  /// somebody meanwhile.
  Duration m_confirmation = 300ms;
  /// Time for which a crash is evidence, and for which a part is blocked.
  Duration m_lifetime = std::chrono::minutes(10);

  friend bool operator==(const CrashCauseLimits&,
                         const CrashCauseLimits&) = default;
};

/// What this entry knows of crashes of replicas and of the parts of prompts
/// that may cause them.
///
/// Load: requests that differ, come from several callers to all entries, and
/// share one part that crashes each replica that begins to answer them. A crash
/// ends up to a replica's slots of other requests at the same time.
/// Harm: if crashes are recorded by the whole request, each of these requests
/// is a new one, and they crash replica after replica. If they are recorded by
/// every part of every request at the replica, sound requests are refused too.
///
/// A part is suspected for each crash that ended a request with it, after any
/// event of its answer. Only a complete answer to a request with the part
/// clears it. A replica that sends data after its supposed crash has not
/// crashed. Crashes under one and the same request count against that request
/// (QuarantineState) and not against its parts.
///
/// Two rules separate the cause from the parts of sound requests that the same
/// crashes ended. The likeliest part is blocked first, and the crashes at which
/// it was present then count against no other part. And a part is blocked only
/// if its crashes are unlikely to be a coincidence: the number of requests that
/// other crashes ended, compared with those that were answered completely,
/// gives the probability that a request ends with its replica for another
/// reason (see crash_verdict.h).
struct CrashCauses {
  struct Suspicion {
    TimePoint m_at{};
    /// Keys of the requests with the part, the same for equal ones; at most
    /// kMaxRequestsOfCrash, the least.
    std::set<uint64_t> m_requests;
    /// One of them had got the head of its answer, so the replica had begun.
    bool m_had_head = false;
  };
  /// Requests of this entry that ended with a replica.
  struct CutRequests {
    TimePoint m_at{};
    uint32_t m_count = 0;
  };
  CrashCauseLimits m_limits;
  /// By part and incarnation of the replica that crashed.
  std::map<uint64_t, std::map<std::string, Suspicion>> m_suspects;
  /// When a request with the part was last answered completely.
  std::map<uint64_t, TimePoint> m_answered;
  /// Blocked parts, and since when.
  std::map<uint64_t, TimePoint> m_blocked;
  /// Parts that are the likeliest cause of crashes and not blocked yet, the
  /// likeliest first; as of the last BlockCauses().
  std::vector<uint64_t> m_isolated;
  /// Incarnations whose crash a blocked part explains.
  std::map<std::string, TimePoint> m_explained;
  /// Incarnations that are suspected to have crashed, and when.
  std::map<std::string, TimePoint> m_crashed;
  /// Incarnations that have answered after their suspected crash.
  std::map<std::string, TimePoint> m_alive;
  /// By incarnation of the replica.
  std::map<std::string, CutRequests> m_cut;
  /// Requests of this entry by part.
  std::map<uint64_t, RecentCount> m_sent;
  /// Requests of this entry that were answered completely.
  RecentCount m_whole_answers;
  /// When an answer to a request with the part was last reported to the other
  /// entries, by part.
  std::map<uint64_t, TimePoint> m_answers_reported;
  /// Reports for the other entries.
  std::vector<CrashReport> m_unsent;
};

/// Limit of the entries of each map and of the unsent reports, about 2 MB each.
/// At the limit, further suspicions are dropped and further answers aren't
/// remembered, until older ones have expired.
constexpr size_t kMaxCrashCauses = 20000;

constexpr size_t kMaxRequestsOfCrash = 4;

/// Key of a part of the prompts of `service`; the same in every process.
uint64_t PartKey(const std::string& service, const std::string& part);

/// A request that a replica's crash ended.
struct CrashedRequest {
  uint64_t m_key = 0;
  /// Keys of the parts that it shares.
  std::vector<uint64_t> m_parts;
  /// It had got the head of its answer.
  bool m_had_head = false;

  friend bool operator==(const CrashedRequest&,
                         const CrashedRequest&) = default;
};

/// Records that the replica's process `incarnation` ended under `request`.
void RecordCrash(CrashCauses& causes,
                 const std::string& incarnation,
                 const CrashedRequest& request,
                 TimePoint now);
/// Records that a request with `parts` is sent to a replica.
void RecordSent(CrashCauses& causes,
                const std::vector<uint64_t>& parts,
                TimePoint now);
/// Records that a request with `parts` has been answered completely by one
/// replica. One that was resumed after a crash doesn't count: it was resumed
/// past the event that crashes replicas.
void RecordAnswer(CrashCauses& causes,
                  const std::vector<uint64_t>& parts,
                  TimePoint now);
/// Records that `incarnation` has sent data. True: it was suspected to have
/// crashed, and hasn't. Cheap if it isn't suspected.
bool RecordData(CrashCauses& causes,
                const std::string& incarnation,
                TimePoint now);
/// Applies a report of another entry. Reports may arrive in any order and more
/// than once.
void ApplyReport(CrashCauses& causes, const CrashReport& report, TimePoint now);

/// A part that has just been blocked, with the crashes behind it.
struct BlockedPart {
  uint64_t m_part = 0;
  std::vector<std::string> m_incarnations;

  friend bool operator==(const BlockedPart&, const BlockedPart&) = default;
};

/// Blocks the parts whose crashes are beyond the limit, and removes what has
/// expired. Called at each crash and several times a second.
std::vector<BlockedPart> BlockCauses(CrashCauses& causes, TimePoint now);

/// The first of `parts` that is blocked.
std::optional<uint64_t> FindBlocked(const CrashCauses& causes,
                                    const std::vector<uint64_t>& parts,
                                    TimePoint now);

/// The part among `parts` that is isolated. Requests with it go to one replica,
/// which others avoid.
///
/// Load: requests with a part arrive several times a second and crash four
/// replicas, each of which restarts within seconds. Harm: all of them are down
/// when the part is blocked, so no request is served. If the requests go to one
/// replica, the others serve, and the parts of sound requests are no longer
/// present at the same crashes.
std::optional<uint64_t> FindIsolated(const CrashCauses& causes,
                                     const std::vector<uint64_t>& parts);

/// Whether a blocked part explains the crash of `incarnation`, or it has
/// answered since: then the crash counts against no request.
bool IsExplained(const CrashCauses& causes,
                 const std::string& incarnation,
                 TimePoint now);

/// Returns and clears the reports for the other entries.
std::vector<CrashReport> TakeReports(CrashCauses& causes);

/// Reports of all blocked parts, for entries that have started since.
std::vector<CrashReport> BlockedReports(const CrashCauses& causes);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_CRASH_CAUSES_H_
