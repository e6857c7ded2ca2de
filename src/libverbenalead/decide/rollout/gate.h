#ifndef VERBENALEAD_DECIDE_ROLLOUT_GATE_H_
#define VERBENALEAD_DECIDE_ROLLOUT_GATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "base/time.h"
#include "decide/attempts/attempt.h"

namespace verbenalead::decide {

/// Admission state of one target host: decides which attempts reach its engine
/// or plain service. Only the gate knows the target's actual load, and it is
/// the last point at which an attempt can still be refused as "not run".
struct GateState {
  /// Identifies this run of the target process. An attempt addressed to another
  /// run is refused, because this process can't know whether that run started
  /// it.
  uint64_t m_incarnation = 0;
  uint32_t m_capacity = 1;
  bool m_open = false;
  /// The gate is about to shut for a load. It still admits attempts, but is
  /// reported to entries as shut, so that they have stopped sending when it
  /// shuts.
  bool m_closing = false;
  /// The target is shutting down and admits no further attempts.
  bool m_leaving = false;
  /// The version that the engine has confirmed to serve; empty for a plain
  /// service.
  Digest m_digest;
  /// Incremented with each change of the served version, so that an answer
  /// that began before a load can be detected and withheld.
  uint64_t m_generation = 0;
  uint32_t m_running = 0;
  /// Incremented whenever it becomes uncertain what the engine serves. The gate
  /// opens only on an engine status requested after the last increment.
  uint64_t m_status_epoch = 1;

  struct Record {
    enum class State { kRunning, kDone, kVoid };
    State m_state = State::kRunning;
    TimePoint m_since{};
  };
  /// Attempts that started, ended, or were made void before they arrived.
  std::map<Attempt, Record> m_attempts;
};

enum class AdmitResult {
  kAdmitted,
  kClosed,            ///< No version is in force, or a load is under way.
  kFull,              ///< m_capacity attempts are running.
  kLeaving,           ///< The target is shutting down.
  kWrongIncarnation,  ///< Addressed to another run of this target.
  kWrongVersion,      ///< Another version is in force.
  kVoid,              ///< Made void before it arrived.
  kDuplicate,         ///< Duplicate of an attempt that has already started.
};

const char* ToString(AdmitResult result);

/// Admits `attempt` or returns the reason for the refusal. A refused message is
/// not run and won't be; with kDuplicate, however, an earlier copy of the same
/// attempt is running or has run. `wanted` is the version for which the request
/// was placed, or empty for any version.
AdmitResult Admit(GateState& gate,
                  const Attempt& attempt,
                  uint64_t incarnation,
                  const Digest& wanted,
                  TimePoint now);

/// Records that the attempt has ended and frees its slot.
void EndAttempt(GateState& gate, const Attempt& attempt, TimePoint now);

/// Opens the gate for the version that the engine has confirmed. Answers in
/// progress continue only if that version was already in force.
void Open(GateState& gate, const Digest& digest);

/// Shuts the gate for new attempts. Running attempts continue.
void Shut(GateState& gate);

/// Shuts the gate until the engine has reported again which version it serves.
/// Answers in progress continue: an engine that is slow to report its status
/// still runs them.
void RequireStatus(GateState& gate);

/// Shuts the gate until the engine has reported again which version it serves,
/// and withholds all answers that began before. Called after a load order, or
/// if the engine serves another version than the one in force.
void InvalidateVersion(GateState& gate);

/// Returns true if an answer that began under `generation` and reports version
/// `reported` may be forwarded. An answer that names another version than the
/// one in force shuts the gate at once: the engine has restarted or was given
/// an order by another process. An answer that names no version isn't forwarded
/// but leaves the gate as it is, because an engine may omit the version from an
/// error. Otherwise one malformed request, retried at each target, could shut
/// every gate of the pool.
bool MayForward(GateState& gate, uint64_t generation, const Digest& reported);

enum class VoidResult {
  kNeverStarted,  ///< The attempt did not start and never will.
  kStarted,       ///< The attempt is running or has run.
};

/// Makes an attempt void unless it has started. The entry requests this over a
/// new connection when the connection that carried the attempt stops
/// responding.
VoidResult VoidAttempt(GateState& gate, const Attempt& attempt, TimePoint now);

/// Erases the records of attempts that ended or became void more than
/// kAttemptRetention ago. Running attempts are kept.
void EraseOldAttempts(GateState& gate, TimePoint now);

/// Retention period of a void or ended attempt. A message that arrives later
/// would have been in transit for this long. Connections are closed after
/// seconds of silence, so a period of minutes is sufficient.
constexpr Duration kAttemptRetention = std::chrono::minutes(10);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_GATE_H_
