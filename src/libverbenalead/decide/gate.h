#ifndef VERBENALEAD_DECIDE_GATE_H_
#define VERBENALEAD_DECIDE_GATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "base/time.h"
#include "decide/attempt.h"

namespace verbenalead::decide {

/// What one target host lets through to its engine or plain service. The gate
/// is the one place that knows the target's true load, and the last one that
/// can still say "not run".
struct GateState {
  /// This run of the target process. An attempt addressed to another one is
  /// refused: what that one did with it, this one can't know.
  uint64_t m_incarnation = 0;
  uint32_t m_capacity = 1;
  bool m_open = false;
  /// About to shut for a load: still lets in what comes, but tells entries that
  /// it is shut, so that they have stopped sending by then.
  bool m_closing = false;
  bool m_leaving = false;
  /// What the engine has confirmed to serve; empty for a plain service.
  Digest m_digest;
  /// Rises with each change of what the engine serves, so that an answer that
  /// straddles a load is told from one that doesn't.
  uint64_t m_generation = 0;
  uint32_t m_running = 0;
  /// Rises whenever what the engine serves becomes doubtful. The gate opens
  /// only on an answer that the engine was asked for after the last rise.
  uint64_t m_doubt = 1;

  struct Record {
    enum class State { kRunning, kDone, kVoid };
    State m_state = State::kRunning;
    TimePoint m_since{};
  };
  /// Attempts that started, ended, or were made void before they came.
  std::map<Attempt, Record> m_attempts;
};

enum class EnterResult {
  kEntered,
  kClosed,            ///< No version is in force, or a load is under way.
  kFull,              ///< m_capacity attempts are running.
  kLeaving,           ///< The target takes nothing new.
  kWrongIncarnation,  ///< Addressed to an earlier run of this target.
  kWrongVersion,      ///< Another version is in force.
  kVoid,              ///< Made void before it came.
  kRepeated,          ///< This attempt has come before: a doubled message.
};

const char* ToString(EnterResult result);

/// Lets `attempt` in or says why not. Every result but kEntered means: not
/// run, and it won't be, but for kRepeated, which says nothing of the first.
/// `wanted` is the version that the request was placed for; empty: any.
EnterResult Enter(GateState& gate,
                  const Attempt& attempt,
                  uint64_t incarnation,
                  const Digest& wanted,
                  TimePoint now);

/// The attempt has ended; its slot is free again.
void Leave(GateState& gate, const Attempt& attempt, TimePoint now);

/// Opens the gate for what the engine has confirmed. Answers under way pass on
/// only if it is what was in force before.
void Open(GateState& gate, const Digest& digest);

/// Shuts the gate for new attempts; running ones go on.
void Shut(GateState& gate);

/// Shuts the gate until the engine has been asked again what it serves. Answers
/// under way go on: an engine that is merely slow to say so still runs them.
void AskAgain(GateState& gate);

/// The engine has been ordered, or serves what it should not: shuts the gate
/// until it has been asked, and lets no answer pass that began before.
void Doubt(GateState& gate);

/// True if an answer begun under `generation` with `reported` may be passed on.
/// An answer that names another version than the one in force shuts the gate
/// at once: the engine has restarted, or obeyed somebody else. An answer that
/// names none isn't passed on but proves nothing, as an engine may leave the
/// name out of an error; were it to shut the gate, one malformed request sent
/// round could shut every gate of the pool.
bool MayPass(GateState& gate, uint64_t generation, const Digest& reported);

enum class VoidResult {
  kNeverStarted,  ///< It did not start, and now never will.
  kStarted,       ///< It is running or has run.
};

/// Makes an attempt void unless it has started. The entry asks this over a new
/// connection when the one that carried the attempt has gone silent.
VoidResult VoidAttempt(GateState& gate, const Attempt& attempt, TimePoint now);

/// Forgets ended and void attempts older than kRemember.
void Forget(GateState& gate, TimePoint now);

/// How long a void or ended attempt is remembered. A message that comes later
/// than this would have to have been under way for as long; connections are
/// given up after seconds of silence, so minutes are ample.
constexpr Duration kRemember = std::chrono::minutes(10);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_GATE_H_
