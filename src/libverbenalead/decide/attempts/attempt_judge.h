#ifndef VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_JUDGE_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_JUDGE_H_

#include "decide/attempts/retry.h"

namespace verbenalead::decide {

/// A target's reply to a request to make an attempt void.
enum class VoidReply {
  kNone,          ///< No request was sent, or no reply arrived.
  kNeverStarted,  ///< The attempt did not start and never will.
  kStarted,       ///< The attempt is running, has run, or may have run.
};

/// What the entry has observed of one attempt.
struct AttemptObservations {
  /// At least one byte of the attempt may have left this process.
  bool m_sent = true;
  /// The target's gate refused the attempt.
  bool m_gate_refused = false;
  /// The target reported that its gate admitted the attempt.
  bool m_was_admitted = false;
  /// The target reported success at the end of the answer.
  bool m_reported_success = false;
  /// The target reported failure of the run at the end of the answer.
  bool m_reported_failure = false;
  /// Length and digest of the received answer match those that the target sent.
  bool m_intact = false;
  VoidReply m_void = VoidReply::kNone;
};

/// Returns true if the evidence leaves open whether the attempt started. The
/// entry then requests, over a working connection, that the target make the
/// attempt void.
bool NeedsVoidRequest(const AttemptObservations& evidence);

/// Returns how the attempt ended. Only three observations count as "not run":
/// nothing was sent, the gate refused the attempt, or the target replied that
/// the attempt never started and never will. An attempt with a lost message is
/// in doubt: a lost answer can't be distinguished from a lost request, and if
/// it were reported as "not run", the caller would retry and pay twice.
AttemptVerdict Judge(const AttemptObservations& evidence);

/// Returns the outcome reported to the caller after the last attempt. "Not run"
/// has to hold for all attempts of the call: if an earlier attempt is in doubt,
/// it may still be running, and a refusal of the last attempt is reported as
/// unknown.
model::Outcome OutcomeToReport(model::Outcome last, bool earlier_in_doubt);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_JUDGE_H_
