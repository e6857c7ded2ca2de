#ifndef VERBENALEAD_DECIDE_HEALTH_QUARANTINE_H_
#define VERBENALEAD_DECIDE_HEALTH_QUARANTINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Record of the crash of a target while it ran a request.
struct CrashRecord {
  /// Key of the request: model::Call::fingerprint() or RequestKey().
  uint64_t m_key = 0;
  std::string m_target;
  TimePoint m_at{};

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

/// When a request is quarantined, and for how long.
struct QuarantineLimits {
  /// Number of different targets that must crash under a request.
  size_t m_crashes = 2;
  /// How long a crash counts against a request: long enough for a client that
  /// retries in a loop to stop or to be noticed. Afterwards the request runs
  /// again, on a corrected version if one has been deployed.
  Duration m_quarantine_time = std::chrono::minutes(10);

  friend bool operator==(const QuarantineLimits&,
                         const QuarantineLimits&) = default;
};

/// Requests under which targets have crashed, for the refusal of those that
/// caused the crashes.
///
/// Load: a request that crashes each target that runs it, and that its caller
/// retries again and again.
/// Harm: retries of the request would take down the pool target by target. A
/// target that crashes for another reason aborts many requests, but each of
/// them only once; a request under which QuarantineLimits::m_crashes targets
/// have crashed is therefore refused. Every entry that has received the crash
/// records refuses it; only an entry without them can still send it to a
/// target.
struct QuarantineState {
  QuarantineLimits m_limits;
  /// Time of the last crash, by key of the request and name of the target.
  std::map<uint64_t, std::map<std::string, TimePoint>> m_crashes;
  /// Crashes seen by this entry that have not been sent to the other entries.
  std::vector<CrashRecord> m_unsent;
  /// Requests that succeeded after a target had crashed under them, and when. A
  /// crash record that another entry sends late doesn't count against them.
  std::map<uint64_t, TimePoint> m_cleared;
};

/// Maximum number of requests in each map and of unsent crash records. When a
/// data centre fails, each request that ran there leaves a record; 20,000 of
/// them take about 4 MB. At that number, new records are dropped until older
/// ones have expired.
constexpr size_t kMaxTrackedRequests = 20000;

/// Records that `target` crashed while it ran the request with `key`, and
/// queues the record for the other entries.
void RecordCrash(QuarantineState& state,
                 uint64_t key,
                 const std::string& target,
                 TimePoint now);
/// Key that identifies a request when it is retried; the same in every process.
uint64_t RequestKey(const std::string& organisation,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body);
/// Records that the request succeeded, which clears its crashes: they had
/// another cause. Otherwise a request that is sent periodically, such as a
/// status check, would be quarantined after some hosts had failed while they
/// ran it.
void RecordSuccess(QuarantineState& state, uint64_t key, TimePoint now);
/// Removes the crashes of `target`: they had another cause than the requests
/// that ran there.
void RemoveCrashesOf(QuarantineState& state, const std::string& target);
/// Whether the request with `key` is in quarantine and must not run.
bool IsQuarantined(const QuarantineState& state, uint64_t key, TimePoint now);
/// Returns and clears the crash records to send to the other entries.
std::vector<CrashRecord> TakeCrashRecords(QuarantineState& state);
/// Merges crash records of another entry, which may arrive in any order and
/// more than once. They are not forwarded: each entry sends its own records to
/// all other entries.
void MergeCrashRecords(QuarantineState& state,
                       const std::vector<CrashRecord>& records,
                       TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_QUARANTINE_H_
