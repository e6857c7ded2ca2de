#ifndef VERBENALEAD_DECIDE_HEALTH_CRASH_CAUSES_H_
#define VERBENALEAD_DECIDE_HEALTH_CRASH_CAUSES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/health/crash_report.h"

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

/// Which parts of prompts crash the replicas that begin to answer a request
/// with them, as far as this entry knows.
///
/// Load: requests that differ, come from several callers to all entries, and
/// share one part that crashes each replica that begins to answer them. A crash
/// ends up to a replica's slots of other requests at the same time.
/// Harm: if crashes are recorded by the whole request, each of these requests
/// is a new one, and they crash replica after replica. If they are recorded by
/// every part of every request at the replica, sound requests are refused too.
///
/// A part is suspected for each crash at which a request with it had been sent
/// and not answered with an event. An answer to any request with the part
/// clears it. A replica that sends data after its supposed crash has not
/// crashed. Crashes under one and the same request count against that request
/// (QuarantineState) and not against its parts.
///
/// The part with most crashes beyond its limit is blocked first, and the
/// crashes at which it was present are then explained: they count against no
/// other part. So a part of sound requests is blocked only if none of them was
/// answered while several replicas crashed that no other part explains.
struct CrashCauses {
  struct Suspicion {
    TimePoint m_at{};
    /// Key of the request, the same for equal ones.
    uint64_t m_request = 0;
    /// The request had got the head of its answer, so the replica had begun.
    bool m_had_head = false;
  };
  CrashCauseLimits m_limits;
  /// By part and incarnation of the replica that crashed.
  std::map<uint64_t, std::map<std::string, Suspicion>> m_suspects;
  /// When a request with the part was last answered with an event.
  std::map<uint64_t, TimePoint> m_answered;
  /// Blocked parts, and since when.
  std::map<uint64_t, TimePoint> m_blocked;
  /// Incarnations whose crash a blocked part explains.
  std::map<std::string, TimePoint> m_explained;
  /// Incarnations that are suspected to have crashed, and when.
  std::map<std::string, TimePoint> m_crashed;
  /// Incarnations that have answered after their suspected crash.
  std::map<std::string, TimePoint> m_alive;
  /// Parts of which the other entries have been told that they were answered,
  /// and when.
  std::map<uint64_t, TimePoint> m_told_answered;
  /// Reports for the other entries.
  std::vector<CrashReport> m_unsent;
};

/// Limit of the entries of each map and of the unsent reports, about 2 MB each.
/// At the limit, further suspicions are dropped and further answers aren't
/// remembered, until older ones have expired.
constexpr size_t kMaxCrashCauses = 20000;

/// Key of a part of the prompts of `service`; the same in every process.
uint64_t PartKey(const std::string& service, const std::string& part);

/// A request at the time of a replica's crash, without an event of its answer.
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
/// Records that a request with `parts` has been answered with an event.
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
