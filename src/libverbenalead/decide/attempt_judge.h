#ifndef VERBENALEAD_DECIDE_ATTEMPT_JUDGE_H_
#define VERBENALEAD_DECIDE_ATTEMPT_JUDGE_H_

#include "decide/retry.h"

namespace verbenalead::decide {

/// The answer to the question whether an attempt started.
enum class VoidReply {
  kNone,          ///< Not asked, or no answer came.
  kNeverStarted,  ///< It did not start and never will.
  kStarted,       ///< It runs or has run, or the target can't tell.
};

/// What the entry has seen of one attempt.
struct AttemptEvidence {
  /// A byte of it may have left this process.
  bool m_sent = true;
  /// The target's gate refused it.
  bool m_gate_refused = false;
  /// The target said that it entered the gate.
  bool m_entered = false;
  /// The target said at the end of the answer that all went well.
  bool m_ended_well = false;
  /// The target said at the end of the answer that the run failed.
  bool m_ended_badly = false;
  /// Length and digest agree with what the target said.
  bool m_whole = false;
  VoidReply m_void = VoidReply::kNone;
};

/// True if only the target can tell whether the attempt started, so that it is
/// to be asked, over a connection that works, to make the attempt void.
bool NeedsVoid(const AttemptEvidence& evidence);

/// How the attempt ended. Only three things count as "did not run": nothing was
/// sent, the gate refused it, or the target promised that it never started and
/// never will. Anything lost on the way is in doubt: a lost answer looks like a
/// lost request, and to call it "not run" has a caller pay twice.
AttemptEnd Judge(const AttemptEvidence& evidence);

/// What the caller is told after its last attempt. "Not run" speaks of all
/// attempts: an earlier one that was left in doubt may still be running, so
/// that a refusal of the last one alone doesn't make it true.
model::Outcome OutcomeToTell(model::Outcome last, bool earlier_in_doubt);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPT_JUDGE_H_
