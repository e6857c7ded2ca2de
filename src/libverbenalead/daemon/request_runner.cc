#include "daemon/request_runner.h"

#include "base/sleep.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

using model::Outcome;

/// When a caller may come back where no target could take the call.
constexpr Duration kRetryAfterNoTarget = 1s;
constexpr Duration kRetryAfterTable = 2s;
constexpr Duration kRetryAfterHeld = 1s;
constexpr int kConflictStatus = 409;
/// An answer longer than this is not recorded, only its outcome.
constexpr size_t kMaxRecordedBody = 64 * 1024;

front::Problem ProblemOf(const model::Call& call,
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

wire::Response Recorded(const RecordedAnswer& answer, const model::Call& call) {
  if (answer.m_outcome != Outcome::kCompleted) {
    front::Problem problem =
        ProblemOf(call, answer.m_outcome, answer.m_reason, {});
    problem.m_target = answer.m_target;
    problem.m_version = answer.m_version;
    return front::ToResponse(problem);
  }
  if (!answer.m_whole) {
    front::Problem problem =
        ProblemOf(call, answer.m_outcome, "answer_not_kept", {});
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
                                  .With("organisation", call.organisation())
                                  .With("pool", call.pool())
                                  .With("urgency", call.urgency())
                                  .With("idempotent", call.idempotent())
                                  .With("peer", request.m_peer));
  std::optional<uint64_t> claim;
  if (!call.idempotent()) {
    claim = co_await ClaimKey(call, writer);
    if (!claim)
      co_return;
  }
  PoolRouter& router = m_routers.Get(call.pool());
  const decide::AdmitAction admitted = co_await router.Admit(call);
  Verdict verdict;
  if (admitted.m_kind == decide::AdmitAction::Kind::kRefuse) {
    verdict.m_reason = admitted.m_reason;
    verdict.m_retry_after = admitted.m_retry_after;
  } else {
    verdict = co_await Attempt(call, std::move(request), writer);
    router.Finish();
  }
  if (claim)
    co_await SettleClaim(call, *claim, verdict);
  co_await Tell(std::move(call), std::move(verdict), writer);
}

Awaitable<std::optional<uint64_t>> RequestRunner::ClaimKey(
    model::Call call,
    wire::ResponseWriter& writer) {
  ClaimResult claim = co_await m_claims.Claim(call);
  using Kind = ClaimResult::Kind;
  LogLine line("claim");
  line.With("key", call.idempotency_key()).With("reason", claim.m_reason);
  if (claim.m_kind == Kind::kOurs) {
    m_journal.Record(call.id(), line.With("result", "ours"));
    co_return claim.m_writer;
  }
  if (claim.m_kind == Kind::kAnswered) {
    m_journal.Record(call.id(),
                     line.With("result", "answered_before")
                         .With("first_request", claim.m_answer.m_request));
    co_await writer.Send(Recorded(claim.m_answer, call));
    co_return std::nullopt;
  }
  const bool held = claim.m_kind == Kind::kHeld;
  m_journal.Record(call.id(),
                   line.With("result", held ? "held" : "unavailable"));
  front::Problem problem =
      held ? ProblemOf(call, Outcome::kUnknown, claim.m_reason, kRetryAfterHeld)
           : ProblemOf(call, Outcome::kRefused, "claim_table_unavailable",
                       kRetryAfterTable);
  if (held)
    problem.m_status = kConflictStatus;
  co_await writer.Send(front::ToResponse(problem));
  co_return std::nullopt;
}

Awaitable<RequestRunner::Verdict> RequestRunner::Attempt(
    model::Call call,
    wire::Request request,
    wire::ResponseWriter& writer) {
  PoolRouter& router = m_routers.Get(call.pool());
  Verdict verdict;
  bool in_doubt = false;
  std::set<std::string> tried;
  while (true) {
    const auto placement = router.Place(call, tried);
    if (!placement) {
      if (verdict.m_attempts == 0)
        verdict.m_reason = "no_usable_target";
      verdict.m_retry_after = kRetryAfterNoTarget;
      co_return verdict;
    }
    tried.insert(placement->m_target);
    ++verdict.m_attempts;
    verdict.m_target = placement->m_target;
    m_journal.Record(call.id(),
                     LogLine("place")
                         .With("attempt", uint64_t{verdict.m_attempts})
                         .With("target", placement->m_target)
                         .With("version", placement->m_version)
                         .With("incarnation", placement->m_incarnation)
                         .With("reason", placement->m_reason));
    verdict.m_last = co_await m_attempts.Run(
        call, *placement, verdict.m_attempts, request, writer);
    const AttemptReport& last = verdict.m_last;
    router.AttemptEnded(placement->m_target, last.m_broken);
    const auto decision = decide::AfterAttempt(
        call, last.m_end, verdict.m_attempts, last.m_answer_begun, Now());
    m_journal.Record(call.id(),
                     LogLine("attempt_ended")
                         .With("attempt", uint64_t{verdict.m_attempts})
                         .With("target", placement->m_target)
                         .With("version", last.m_version)
                         .With("result", ToString(decision.m_outcome))
                         .With("retry", decision.m_retry)
                         .With("reason", last.m_reason));
    verdict.m_outcome = decide::OutcomeToTell(decision.m_outcome, in_doubt);
    verdict.m_reason = last.m_reason;
    in_doubt |= last.m_end == decide::AttemptEnd::kDoubtful;
    if (!decision.m_retry) {
      if (verdict.m_outcome == Outcome::kRefused)
        verdict.m_retry_after = kRetryAfterNoTarget;
      co_return verdict;
    }
  }
}

Awaitable<void> RequestRunner::SettleClaim(model::Call call,
                                           uint64_t writer,
                                           Verdict verdict) {
  bool settled = false;
  if (verdict.m_outcome == Outcome::kRefused) {
    settled = co_await m_claims.Release(call, writer);
  } else {
    RecordedAnswer answer;
    answer.m_outcome = verdict.m_outcome;
    answer.m_request = call.id();
    answer.m_target = verdict.m_target;
    answer.m_version = verdict.m_last.m_version;
    answer.m_reason = verdict.m_reason;
    const wire::Response& last = verdict.m_last.m_answer;
    answer.m_status = last.m_status;
    answer.m_content_type = wire::Get(last.m_headers, "content-type");
    answer.m_whole = !verdict.m_last.m_answer_begun &&
                     last.m_body.size() <= kMaxRecordedBody &&
                     IsJsonText(last.m_body);
    if (answer.m_whole)
      answer.m_body = last.m_body;
    settled = co_await m_claims.Record(call, writer, std::move(answer));
  }
  if (!settled) {
    // Until it is, a repeated call is told "held"; it never runs.
    m_journal.Record(call.id(), LogLine("claim_not_settled_yet"));
  }
}

Awaitable<void> RequestRunner::Tell(model::Call call,
                                    Verdict verdict,
                                    wire::ResponseWriter& writer) {
  m_journal.Record(call.id(),
                   LogLine("outcome")
                       .With("outcome", ToString(verdict.m_outcome))
                       .With("target", verdict.m_target)
                       .With("version", verdict.m_last.m_version)
                       .With("attempts", uint64_t{verdict.m_attempts})
                       .With("reason", verdict.m_reason));
  const AttemptReport& last = verdict.m_last;
  if (last.m_answer_begun) {
    // A stream that broke is left without its end, so that the caller can't
    // take it for whole.
    if (verdict.m_outcome == Outcome::kCompleted) {
      wire::Headers trailers;
      trailers[peer::kOutcome] = ToString(verdict.m_outcome);
      co_await writer.Finish(std::move(trailers));
    }
    co_return;
  }
  if (verdict.m_outcome == Outcome::kCompleted) {
    wire::Response answer = last.m_answer;
    answer.m_headers[peer::kOutcome] = ToString(verdict.m_outcome);
    co_await writer.Send(std::move(answer));
    co_return;
  }
  front::Problem problem = ProblemOf(call, verdict.m_outcome, verdict.m_reason,
                                     verdict.m_retry_after);
  problem.m_target = verdict.m_target;
  problem.m_version = last.m_version;
  problem.m_attempts = verdict.m_attempts;
  co_await writer.Send(front::ToResponse(problem));
}

}  // namespace verbenalead::daemon
