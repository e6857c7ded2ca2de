#include "decide/attempt_judge.h"

namespace verbenalead::decide {

bool NeedsVoid(const AttemptEvidence& evidence) {
  return evidence.m_sent && !evidence.m_gate_refused && !evidence.m_entered &&
         evidence.m_void == VoidReply::kNone;
}

AttemptEnd Judge(const AttemptEvidence& evidence) {
  if (!evidence.m_sent || evidence.m_gate_refused)
    return AttemptEnd::kNotRun;
  if (!evidence.m_entered) {
    return evidence.m_void == VoidReply::kNeverStarted ? AttemptEnd::kNotRun
                                                       : AttemptEnd::kDoubtful;
  }
  if (evidence.m_ended_badly)
    return AttemptEnd::kFailed;
  // A wrong length or digest means that the answer was truncated or corrupted
  // in transit.
  return evidence.m_ended_well && evidence.m_whole ? AttemptEnd::kCompleted
                                                   : AttemptEnd::kDoubtful;
}

model::Outcome OutcomeToTell(model::Outcome last, bool earlier_in_doubt) {
  return last == model::Outcome::kRefused && earlier_in_doubt
             ? model::Outcome::kUnknown
             : last;
}

}  // namespace verbenalead::decide
