#include "decide/hedge.h"

#include "decide/call_policy.h"

namespace verbenalead::decide {
namespace {

/// Callers leave a stream that pauses for two seconds or more; the rest is for
/// another replica to read the prompt and go on.
constexpr Duration kEventSilence = 900ms;
/// A head may wait for the prompts before it, too.
constexpr Duration kHeadSilence = 1200ms;
/// A plain service answers within a fifth of its objective when it is not
/// overloaded.
constexpr int kObjectivesForHead = 3;

}  // namespace

std::optional<Duration> SilenceBeforeHedge(const CallProgress& progress,
                                           const model::Route& route) {
  CallProgress running = progress;
  if (!running.m_begun) {
    ++running.m_sent;
    ++running.m_runs;
  }
  if (!MayTryAgain(running, AttemptEnd::kBroken))
    return std::nullopt;
  if (progress.m_begun)
    return kEventSilence;
  const bool plain = progress.m_kind != model::CallKind::kStream;
  return plain && route.m_objective > Duration()
             ? kObjectivesForHead * route.m_objective
             : kHeadSilence;
}

}  // namespace verbenalead::decide
