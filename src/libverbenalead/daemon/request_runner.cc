#include "daemon/request_runner.h"

#include <algorithm>

#include "base/sleep.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

using model::Outcome;

/// Delay after which a caller may retry if no target could take the call.
constexpr Duration kRetryAfterNoTarget = 1s;
/// Longest pause between two rounds of a call that found the targets full. The
/// first pause is decide::kFullTargetPause.
constexpr Duration kMaxFullPause = 160ms;
/// Number of rounds after which a call is refused if targets refused it for
/// another reason than lack of capacity, such as a closed gate or another
/// version.
constexpr int kMaxRoundsTurnedAway = 3;
constexpr Duration kRetryAfterTableFailure = 2s;
constexpr Duration kRetryAfterHeld = 1s;
constexpr int kConflictStatus = 409;
constexpr int kUnprocessableStatus = 422;
constexpr char kQuarantinedReason[] = "request_crashes_targets";
/// Maximum size in bytes of a recorded answer body. If the body is longer, the
/// record contains no body.
constexpr size_t kMaxRecordedBody = 64 * 1024;

front::Problem MakeProblem(const model::Call& call,
                           Outcome outcome,
                           std::string reason,
                           Duration retry_after) {
  front::Problem problem;
  problem.m_outcome = outcome;
  problem.m_reason = std::move(reason);
  problem.m_request = call.id();
  problem.m_retry_after = retry_after;
  return problem;
}

/// True if the target itself refused the call at once, without running it.
bool IsTurnedAway(const AttemptReport& report) {
  return report.m_end == decide::AttemptVerdict::kNotRun &&
         !report.m_target_faulty;
}

/// True if a target refused a call only because of its load.
bool IsForCapacity(const std::string& reason) {
  return reason == peer::kFull || reason == peer::kAboveMaxRunning;
}

/// True if, as far as the entry can observe, the target or its engine crashed
/// while it ran the call. An attempt that only timed out doesn't count.
bool LooksLikeCrash(const AttemptReport& report, const model::Call& call) {
  const bool lost = report.m_target_faulty &&
                    report.m_end == decide::AttemptVerdict::kInDoubt &&
                    Now() < call.deadline();
  return lost || (report.m_end == decide::AttemptVerdict::kFailed &&
                  report.m_reason == "engine_failed");
}

/// What the end of an attempt indicates about the state of its target.
decide::TargetFeedback SignOf(const AttemptReport& report) {
  using decide::TargetFeedback;
  if (report.m_target_faulty)
    return TargetFeedback::kBroken;
  switch (report.m_end) {
    case decide::AttemptVerdict::kCompleted:
      return TargetFeedback::kGood;
    case decide::AttemptVerdict::kFailed:
      return TargetFeedback::kFailed;
    case decide::AttemptVerdict::kInDoubt:
      // The caller disconnected, which is no fault of the target.
      return TargetFeedback::kRefused;
    case decide::AttemptVerdict::kNotRun:
      break;
  }
  if (report.m_reason == peer::kFull)
    return TargetFeedback::kFull;
  return report.m_reason == peer::kAboveMaxRunning
             ? TargetFeedback::kAboveMaxRunning
             : TargetFeedback::kRefused;
}

wire::Response MakeRecordedResponse(const RecordedAnswer& answer,
                                    const model::Call& call) {
  if (answer.m_outcome != Outcome::kCompleted) {
    front::Problem problem =
        MakeProblem(call, answer.m_outcome, answer.m_reason, {});
    problem.m_target = answer.m_target;
    problem.m_version = answer.m_version;
    return front::ToResponse(problem);
  }
  if (!answer.m_has_body) {
    front::Problem problem =
        MakeProblem(call, answer.m_outcome, "answer_not_kept", {});
    problem.m_status = kConflictStatus;
    problem.m_target = answer.m_target;
    problem.m_version = answer.m_version;
    return front::ToResponse(problem);
  }
  wire::Response response{answer.m_status, {}, answer.m_body};
  response.m_headers["content-type"] = answer.m_content_type;
  response.m_headers[peer::kOutcome] = ToString(answer.m_outcome);
  response.m_headers[peer::kRequestId] = call.id();
  response.m_headers["x-first-request-id"] = answer.m_request;
  response.m_headers[peer::kTarget] = answer.m_target;
  response.m_headers[peer::kVersion] = answer.m_version;
  return response;
}

}  // namespace

Awaitable<void> RequestRunner::Run(model::Call call,
                                   wire::Request request,
                                   wire::ResponseWriter& writer) {
  m_journal.Record(call.id(), LogLine("received")
                                  .With("call", call.instance())
                                  .With("organisation", call.organisation())
                                  .With("pool", call.pool())
                                  .With("urgency", call.urgency())
                                  .With("idempotent", call.idempotent())
                                  .With("peer", request.m_peer));
  if (m_quarantine.IsQuarantined(call.fingerprint())) {
    co_await RefuseQuarantined(std::move(call), writer);
    co_return;
  }
  std::optional<uint64_t> claim;
  if (!call.idempotent()) {
    claim = co_await ClaimKey(call, writer);
    if (!claim)
      co_return;
  }
  PoolRouter& router = m_routers.Get(call.pool());
  const decide::AdmissionAction admitted = co_await router.Admit(call);
  CallResult result;
  if (admitted.m_kind == decide::AdmissionAction::Kind::kRefuse) {
    result.m_reason = admitted.m_reason;
    result.m_retry_after = admitted.m_retry_after;
  } else {
    const TimePoint started = Now();
    result = co_await SendAttempts(call, std::move(request), writer);
    std::optional<Duration> elapsed;
    if (result.m_outcome == Outcome::kCompleted)
      elapsed = Now() - started;
    router.Finish(call, elapsed);
  }
  if (claim)
    co_await SettleClaim(call, *claim, result);
  co_await ReportOutcome(std::move(call), std::move(result), writer);
}

Awaitable<void> RequestRunner::RefuseQuarantined(model::Call call,
                                                 wire::ResponseWriter& writer) {
  m_journal.Record(call.id(), LogLine("set_aside")
                                  .With("organisation", call.organisation())
                                  .With("reason", kQuarantinedReason));
  front::Problem problem =
      MakeProblem(call, Outcome::kRefused, kQuarantinedReason, {});
  problem.m_status = kUnprocessableStatus;
  co_await writer.Send(front::ToResponse(problem));
}

Awaitable<std::optional<uint64_t>> RequestRunner::ClaimKey(
    model::Call call,
    wire::ResponseWriter& writer) {
  ClaimResult claim = co_await m_claims.Claim(call);
  using Kind = ClaimResult::Kind;
  LogLine line("claim");
  line.With("key", call.idempotency_key()).With("reason", claim.m_reason);
  if (claim.m_kind == Kind::kClaimed) {
    m_journal.Record(call.id(), line.With("result", "ours"));
    co_return claim.m_writer;
  }
  if (claim.m_kind == Kind::kAnswered) {
    m_journal.Record(call.id(),
                     line.With("result", "answered_before")
                         .With("first_request", claim.m_answer.m_request));
    co_await writer.Send(MakeRecordedResponse(claim.m_answer, call));
    co_return std::nullopt;
  }
  const bool held = claim.m_kind == Kind::kHeld;
  m_journal.Record(call.id(),
                   line.With("result", held ? "held" : "unavailable"));
  front::Problem problem =
      held ? MakeProblem(call, Outcome::kUnknown, claim.m_reason,
                         kRetryAfterHeld)
           : MakeProblem(call, Outcome::kRefused, "claim_table_unavailable",
                         kRetryAfterTableFailure);
  if (held)
    problem.m_status = kConflictStatus;
  co_await writer.Send(front::ToResponse(problem));
  co_return std::nullopt;
}

Awaitable<RequestRunner::CallResult> RequestRunner::SendAttempts(
    model::Call call,
    wire::Request request,
    wire::ResponseWriter& writer) {
  PoolRouter& router = m_routers.Get(call.pool());
  const TimePoint started = Now();
  CallResult result;
  result.m_reason = "no_usable_target";
  Duration pause = decide::kFullTargetPause;
  int refused_rounds = 0;
  while (true) {
    const RoundResult end =
        co_await RunRound(call, request, started, result, writer);
    if (end == RoundResult::kDone)
      co_return result;
    if (end == RoundResult::kRefusedByTargets)
      ++refused_rounds;
    const bool capacity_expected = router.RecordTargetsFull();
    if (!capacity_expected || refused_rounds >= kMaxRoundsTurnedAway ||
        Now() + pause >= call.deadline()) {
      result.m_outcome =
          decide::OutcomeToReport(Outcome::kRefused, result.m_in_doubt);
      result.m_retry_after = kRetryAfterNoTarget;
      co_return result;
    }
    co_await Sleep(pause);
    pause = std::min<Duration>(pause * 2, kMaxFullPause);
  }
}

Awaitable<RequestRunner::RoundResult> RequestRunner::RunRound(
    const model::Call& call,
    const wire::Request& request,
    TimePoint started,
    CallResult& result,
    wire::ResponseWriter& writer) {
  PoolRouter& router = m_routers.Get(call.pool());
  std::set<std::string> tried;
  RoundResult end_without_target = RoundResult::kFull;
  while (true) {
    auto placement = router.ChooseTarget(call, tried, Now() - started);
    if (!placement)
      co_return end_without_target;
    tried.insert(placement->m_target);
    decide::FinishedAttempt ended = co_await RunOneAttempt(
        call, std::move(*placement), request, result, writer);
    ended.m_number = static_cast<uint32_t>(tried.size());
    const decide::RetryDecision decision = router.DecideRetry(call, ended);
    result.m_outcome =
        decide::OutcomeToReport(decision.m_outcome, result.m_in_doubt);
    result.m_in_doubt |= ended.m_end == decide::AttemptVerdict::kInDoubt;
    m_journal.Record(call.id(),
                     LogLine("attempt_ended")
                         .With("attempt", uint64_t{result.m_attempts})
                         .With("target", result.m_target)
                         .With("version", result.m_last_attempt.m_version)
                         .With("result", ToString(decision.m_outcome))
                         .With("retry", decision.m_retry)
                         .With("over_budget", decision.m_over_budget)
                         .With("reason", result.m_reason));
    if (ended.m_refused_without_run && !IsForCapacity(result.m_reason))
      end_without_target = RoundResult::kRefusedByTargets;
    if (decision.m_retry && !m_quarantine.IsQuarantined(call.fingerprint()))
      continue;
    if (ended.m_refused_without_run)
      co_return end_without_target;
    if (result.m_outcome == Outcome::kRefused)
      result.m_retry_after = kRetryAfterNoTarget;
    co_return RoundResult::kDone;
  }
}

Awaitable<decide::FinishedAttempt> RequestRunner::RunOneAttempt(
    const model::Call& call,
    decide::Placement placement,
    const wire::Request& request,
    CallResult& result,
    wire::ResponseWriter& writer) {
  ++result.m_attempts;
  result.m_target = placement.m_target;
  LogLine line("place");
  line.With("call", call.instance())
      .With("attempt", uint64_t{result.m_attempts})
      .With("target", placement.m_target)
      .With("version", placement.m_version)
      .With("incarnation", placement.m_incarnation)
      .With("reason", placement.m_reason);
  if (placement.m_max_running != UINT32_MAX)
    line.With("max_running", uint64_t{placement.m_max_running});
  m_journal.Record(call.id(), line);
  const TimePoint sent = Now();
  result.m_last_attempt = co_await m_attempts.Run(
      call, placement, result.m_attempts, request, writer);
  const AttemptReport& last = result.m_last_attempt;
  result.m_reason = last.m_reason;
  m_routers.Get(call.pool())
      .AttemptEnded(placement.m_target, call, SignOf(last), Now() - sent,
                    last.m_running);
  if (LooksLikeCrash(last, call)) {
    m_quarantine.RecordCrash(call.fingerprint(), placement.m_target);
    m_journal.Record(
        call.id(), LogLine("crashed_under").With("target", placement.m_target));
  }
  if (last.m_end == decide::AttemptVerdict::kCompleted)
    m_quarantine.RecordSuccess(call.fingerprint());
  decide::FinishedAttempt ended;
  ended.m_end = last.m_end;
  ended.m_answer_started = last.m_answer_started;
  ended.m_refused_without_run = IsTurnedAway(last);
  co_return ended;
}

Awaitable<void> RequestRunner::SettleClaim(model::Call call,
                                           uint64_t writer,
                                           CallResult result) {
  bool settled = false;
  if (result.m_outcome == Outcome::kRefused) {
    settled = co_await m_claims.Release(call, writer);
  } else {
    RecordedAnswer answer;
    answer.m_outcome = result.m_outcome;
    answer.m_request = call.id();
    answer.m_target = result.m_target;
    answer.m_version = result.m_last_attempt.m_version;
    answer.m_reason = result.m_reason;
    const wire::Response& last = result.m_last_attempt.m_answer;
    answer.m_status = last.m_status;
    answer.m_content_type = wire::Get(last.m_headers, "content-type");
    answer.m_has_body = !result.m_last_attempt.m_answer_started &&
                        last.m_body.size() <= kMaxRecordedBody &&
                        IsJsonText(last.m_body);
    if (answer.m_has_body)
      answer.m_body = last.m_body;
    settled = co_await m_claims.Record(call, writer, std::move(answer));
  }
  if (!settled) {
    // Until the claim is settled, a call with the same key is answered "held"
    // and doesn't run.
    m_journal.Record(call.id(), LogLine("claim_not_settled_yet"));
  }
}

Awaitable<void> RequestRunner::ReportOutcome(model::Call call,
                                             CallResult result,
                                             wire::ResponseWriter& writer) {
  m_journal.Record(call.id(),
                   LogLine("outcome")
                       .With("outcome", ToString(result.m_outcome))
                       .With("target", result.m_target)
                       .With("version", result.m_last_attempt.m_version)
                       .With("attempts", uint64_t{result.m_attempts})
                       .With("reason", result.m_reason)
                       .With("call", call.instance()));
  const AttemptReport& last = result.m_last_attempt;
  if (last.m_answer_started) {
    // The terminator of the chunked encoding is not sent for a stream that was
    // cut short, so that the caller can't take the stream for complete.
    if (result.m_outcome == Outcome::kCompleted) {
      wire::Headers trailers;
      trailers[peer::kOutcome] = ToString(result.m_outcome);
      co_await writer.Finish(std::move(trailers));
    }
    co_return;
  }
  if (result.m_outcome == Outcome::kCompleted) {
    wire::Response answer = last.m_answer;
    answer.m_headers[peer::kOutcome] = ToString(result.m_outcome);
    co_await writer.Send(std::move(answer));
    co_return;
  }
  front::Problem problem = MakeProblem(call, result.m_outcome, result.m_reason,
                                       result.m_retry_after);
  problem.m_target = result.m_target;
  problem.m_version = last.m_version;
  problem.m_attempts = result.m_attempts;
  co_await writer.Send(front::ToResponse(problem));
}

}  // namespace verbenalead::daemon
