#include "decide/attempts/hedge.h"

#include "decide/admission/call_policy.h"

namespace verbenalead::decide {
namespace {

/// Callers abandon a stream that pauses for two seconds or more. The remaining
/// time is for another replica to read the prompt and continue.
constexpr Duration kMaxEventSilence = 900ms;
/// Longer than kMaxEventSilence, since the head of an answer may also wait
/// until the prompts of earlier calls have been read.
constexpr Duration kMaxHeadSilence = 1200ms;
/// Limit for the head of an answer that is not a stream, in latency objectives
/// of the route. A service that runs no model answers within a fifth of its
/// objective unless it is overloaded.
constexpr int kMaxHeadSilenceInObjectives = 3;

}  // namespace

std::optional<Duration> HedgeDelay(const CallProgress& progress,
                                   const model::Route& route) {
  CallProgress running = progress;
  if (!running.m_answer_begun) {
    ++running.m_sent_attempts;
    ++running.m_possible_runs;
  }
  if (!MayRetry(running, AttemptEnd::kBroken))
    return std::nullopt;
  if (progress.m_answer_begun)
    return kMaxEventSilence;
  const bool whole_answer = progress.m_kind != model::CallKind::kStream;
  return whole_answer && route.m_objective > Duration()
             ? kMaxHeadSilenceInObjectives * route.m_objective
             : kMaxHeadSilence;
}

}  // namespace verbenalead::decide
