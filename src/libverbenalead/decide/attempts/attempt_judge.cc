#include "decide/attempts/attempt_judge.h"

namespace verbenalead::decide {

bool NeedsVoidRequest(const AttemptObservations& evidence) {
  return evidence.m_sent && !evidence.m_gate_refused &&
         !evidence.m_was_admitted && evidence.m_void == VoidReply::kNone;
}

AttemptVerdict Judge(const AttemptObservations& evidence) {
  if (!evidence.m_sent || evidence.m_gate_refused)
    return AttemptVerdict::kNotRun;
  if (!evidence.m_was_admitted) {
    return evidence.m_void == VoidReply::kNeverStarted
               ? AttemptVerdict::kNotRun
               : AttemptVerdict::kInDoubt;
  }
  if (evidence.m_reported_failure)
    return AttemptVerdict::kFailed;
  // A wrong length or digest means that the answer was truncated or corrupted
  // in transit.
  return evidence.m_reported_success && evidence.m_intact
             ? AttemptVerdict::kCompleted
             : AttemptVerdict::kInDoubt;
}

model::Outcome OutcomeToReport(model::Outcome last, bool earlier_in_doubt) {
  return last == model::Outcome::kRefused && earlier_in_doubt
             ? model::Outcome::kUnknown
             : last;
}

}  // namespace verbenalead::decide
