#include "decide/admission/call_policy.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Limit of attempts that are sent for one call, including those that were
/// rejected.
constexpr uint32_t kMaxAttemptsSent = 4;
/// Allowance for the network, 8 ms for both directions, and for queues on the
/// links.
constexpr Duration kFirstEventSlack = 40ms;
/// Engine passes until the first event: a call waits for the pass that runs
/// when it arrives, and the next one writes its first event. Estimates with one
/// pass placed calls that were late, and these took slots of other calls.
constexpr int kPassesToFirstEvent = 2;
/// Share of the latency objective that the work of a call takes if its service
/// runs no model.
constexpr double kWorkShareWithoutModel = 0.5;
/// Callers that have at least this share of the longest remaining time may all
/// be at their first attempt.
constexpr double kFirstAttemptShare = 0.8;
/// Wait limit of calls that can no longer be on time.
constexpr Duration kLateWait = 250ms;

/// Retry delay of a request that crashed replicas: long enough for the owner of
/// the request to be informed.
constexpr Duration kRetryAfterCrashes = 60s;

/// Range of the retry delay while a pool is full. A full pool stays full for a
/// second or two, while many calls arrive at once or replicas load weights. A
/// caller that retries sooner finds the same queue and has used up its retry.
constexpr Duration kMinFullDelay = 800ms;
constexpr Duration kMaxFullDelay = 1900ms;
/// Range to which the expected duration of an overload is clamped; the retry
/// delay is 2/3 to 3/2 of it. A caller has only a few seconds for all its
/// tries.
constexpr Duration kMinOverload = 400ms;
constexpr Duration kMaxOverload = 3s;

Duration RandomDuration(Duration min, Duration max, std::mt19937_64& random) {
  return Duration(
      std::uniform_int_distribution<int64_t>(min.count(), max.count())(random));
}

Duration PrefillTime(const model::EngineProfile& engine, uint64_t tokens) {
  if (engine.m_prefill_rate <= 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(tokens) / engine.m_prefill_rate));
}

/// Time from acquiring a slot at a busy replica to the first event.
Duration FirstEventTime(const model::EngineProfile& engine,
                        const model::InboundCall& call) {
  const Duration pass = engine.m_step * std::max<uint32_t>(1, engine.m_stride);
  return kPassesToFirstEvent * pass +
         PrefillTime(engine, call.m_prompt_tokens) + kFirstEventSlack;
}

}  // namespace

bool IsRerunSafe(const CallProgress& progress) {
  switch (progress.m_kind) {
    case model::CallKind::kIdempotent:
      return true;
    case model::CallKind::kStream:
      return progress.m_resumable;
    case model::CallKind::kAtMostOnce:
      return false;
  }
  return false;
}

bool MayRetry(const CallProgress& progress, AttemptEnd end) {
  if (progress.m_sent_attempts >= kMaxAttemptsSent)
    return false;
  if (progress.m_possible_runs == 0)
    return end == AttemptEnd::kNotRun || end == AttemptEnd::kWrongReplica ||
           end == AttemptEnd::kUnreachable;
  return IsRerunSafe(progress) &&
         progress.m_possible_runs < progress.m_max_attempts &&
         end != AttemptEnd::kGood && end != AttemptEnd::kAbandoned;
}

Duration MinElapsed(Duration longest, Duration left) {
  const auto first_attempt_left =
      std::chrono::duration_cast<Duration>(longest * kFirstAttemptShare);
  return left >= first_attempt_left ? Duration() : longest - left;
}

WaitLimit WaitLimitFor(const model::Route& route,
                       const model::EngineProfile* engine,
                       const model::InboundCall& call,
                       Duration elapsed,
                       double share) {
  const Duration needed = engine
                              ? FirstEventTime(*engine, call)
                              : std::chrono::duration_cast<Duration>(
                                    route.m_objective * kWorkShareWithoutModel);
  const Duration slack = route.m_objective - elapsed - needed;
  if (slack <= Duration() && elapsed > Duration())
    return {kLateWait, false, Duration()};
  const auto wait =
      std::chrono::duration_cast<Duration>(std::max(slack, Duration()) * share);
  const Duration reading =
      engine ? PrefillTime(*engine, call.m_prompt_tokens) : Duration();
  return {wait, true, wait + reading};
}

Duration ExpectedRunTime(const model::EngineProfile& engine,
                         const model::InboundCall& call) {
  if (call.m_output_tokens == 0)
    return Duration();
  // Prompts of other calls are read between the tokens of this call and take as
  // long as the tokens themselves, hence the factor of two.
  return PrefillTime(engine, call.m_prompt_tokens) +
         2 * engine.m_step * call.m_output_tokens;
}

const char* ToString(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotReady:
      return "not_ready";
    case Refusal::kNoReplica:
      return "no_replica";
    case Refusal::kLoading:
      return "loading";
    case Refusal::kRegions:
      return "regions";
    case Refusal::kEvacuation:
      return "evacuation";
    case Refusal::kFull:
      return "full";
    case Refusal::kRateLimit:
      return "rate_limit";
    case Refusal::kRest:
      return "rest";
    case Refusal::kCrashes:
      return "crashes_replicas";
  }
  return "unknown";
}

Duration RetryAfter(Refusal refusal, std::mt19937_64& random) {
  switch (refusal) {
    case Refusal::kNotReady:
      // Another entry can serve the call at once.
      return RandomDuration(100ms, 400ms, random);
    case Refusal::kNoReplica:
    case Refusal::kRegions:
    case Refusal::kEvacuation:
      // Replicas restart or load weights for several seconds; a caller that
      // retries earlier only uses up its attempts.
      return RandomDuration(1500ms, 2500ms, random);
    case Refusal::kFull:
    case Refusal::kRateLimit:
      return RandomDuration(kMinFullDelay, kMaxFullDelay, random);
    case Refusal::kLoading:
      // Counted from the time at which some replicas are back; the others
      // follow within half a second or so.
      return RandomDuration(0ms, 500ms, random);
    case Refusal::kRest:
      // A replica returns to its slots within a second after its rest.
      return RandomDuration(50ms, 1050ms, random);
    case Refusal::kCrashes:
      return kRetryAfterCrashes;
  }
  return 1s;
}

Duration RetryAfterOverload(std::optional<Duration> expected,
                            size_t position,
                            size_t ranks,
                            std::mt19937_64& random) {
  Duration min = kMinFullDelay;
  Duration max = kMaxFullDelay;
  if (expected) {
    const Duration center = std::clamp(*expected, kMinOverload, kMaxOverload);
    min = center * 2 / 3;
    max = center * 3 / 2;
  }
  if (ranks > 1)
    max = min + (max - min) * static_cast<int64_t>(position + 1) /
                    static_cast<int64_t>(ranks);
  return RandomDuration(min, max, random);
}

void PrepareRetry(PoolCall& call, double prefill_rate, TimePoint now) {
  if (call.m_read_deadline == TimePoint::max() || prefill_rate <= 0)
    return;
  const auto reading =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(call.m_prompt_tokens) / prefill_rate));
  if (now + reading < call.m_read_deadline)
    return;
  call.m_can_be_on_time = false;
  call.m_read_deadline = TimePoint::max();
}

}  // namespace verbenalead::decide
