#include "daemon/attempt_server.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "base/catch_failure.h"
#include "daemon/answer_checksum.h"
#include "daemon/forwarded_headers.h"
#include "decide/rollout/attempt_gate.h"
#include "peer/header_names.h"
#include "wire/cancel_on_disconnect.h"

namespace verbenalead::daemon {
namespace {

/// Time limit for each piece of the answer to a non-idempotent call after the
/// call's deadline. The answer is read to its end because its outcome has to be
/// recorded.
constexpr Duration kRecordedPieceTimeout = 60s;
constexpr int kFirstErrorStatus = 400;

uint64_t NumberIn(const wire::Headers& headers, const char* name) {
  return std::strtoull(wire::Get(headers, name).c_str(), nullptr, 10);
}

decide::Attempt AttemptOf(const wire::Request& request) {
  return {wire::Get(request.m_headers, peer::kCall),
          static_cast<uint32_t>(NumberIn(request.m_headers, peer::kAttempt))};
}

/// Returns the empty digest if the field is absent or malformed.
Digest DigestIn(const wire::Headers& headers) {
  const std::string text = wire::Get(headers, peer::kDigest);
  auto digest = CatchFailure([&] { return ParseDigest(text); });
  return digest ? *digest : Digest();
}

wire::Request MakeEngineRequest(const wire::Request& request) {
  wire::Request forwarded;
  forwarded.m_method = wire::Get(request.m_headers, peer::kMethod);
  forwarded.m_path = wire::Get(request.m_headers, peer::kPath);
  forwarded.m_body = request.m_body;
  forwarded.m_headers = ForwardedRequestHeaders(request.m_headers);
  for (const char* name : {peer::kRequestId, peer::kOrganisation})
    forwarded.m_headers[name] = wire::Get(request.m_headers, name);
  return forwarded;
}

/// The highest number of running attempts at which this attempt may still be
/// admitted. The entry derives it from its estimate of the pool's mean, so that
/// an attempt sent to a target with more load than estimated is refused.
/// Returns UINT32_MAX if the request has no such limit.
uint32_t MaxRunningOf(const wire::Request& request) {
  const std::string text = wire::Get(request.m_headers, peer::kMaxRunning);
  if (text.empty())
    return UINT32_MAX;
  return static_cast<uint32_t>(NumberIn(request.m_headers, peer::kMaxRunning));
}

bool IsIdempotent(const wire::Request& request) {
  return wire::Get(request.m_headers, "idempotency-key").empty();
}

/// Sets the header fields that identify the answered attempt to the entry.
void SetAttemptHeaders(const decide::Attempt& attempt, wire::Headers& headers) {
  headers[peer::kCall] = attempt.m_call;
  headers[peer::kAttempt] = std::to_string(attempt.m_number);
}

/// The deadline for reading the next piece of an answer. An engine may pause
/// until the call's deadline: a shorter limit would cut off answers for which
/// the caller is still waiting.
TimePoint PieceDeadline(TimePoint deadline, bool idempotent) {
  return idempotent ? deadline
                    : std::max(deadline, Now() + kRecordedPieceTimeout);
}

}  // namespace

/// An attempt that the gate admitted, with the engine's version at that time.
struct AttemptServer::AdmittedAttempt {
  decide::Attempt m_attempt;
  /// The request ID, for the journal.
  std::string m_request;
  uint64_t m_generation = 0;
  Digest m_digest;
  /// False for a call that must not run more than once.
  bool m_idempotent = true;
  /// Attempts that were running at the target when this one arrived.
  uint32_t m_running = 0;
  /// The call's deadline.
  TimePoint m_deadline{};
};

Awaitable<void> AttemptServer::Serve(wire::Request request,
                                     wire::ResponseWriter& writer) {
  ++m_serving;
  co_await ServeAttempt(std::move(request), writer);
  --m_serving;
}

Awaitable<void> AttemptServer::ServeAttempt(wire::Request request,
                                            wire::ResponseWriter& writer) {
  const decide::Attempt attempt = AttemptOf(request);
  const std::string request_id = wire::Get(request.m_headers, peer::kRequestId);
  const uint64_t incarnation = NumberIn(request.m_headers, peer::kIncarnation);
  const Digest wanted = DigestIn(request.m_headers);
  AdmittedAttempt admitted;
  bool over_max_running = false;
  const decide::AdmitResult result = m_gate.With([&](decide::GateState& gate) {
    admitted = {attempt,
                request_id,
                gate.m_generation,
                gate.m_digest,
                IsIdempotent(request),
                gate.m_running};
    // An attempt that arrived before is excluded: it may be running, and a
    // refusal of this duplicate message would then be a false "not run".
    over_max_running = !gate.m_attempts.contains(attempt) &&
                       gate.m_running > MaxRunningOf(request);
    if (over_max_running) {
      decide::VoidAttempt(gate, attempt, Now());
      return decide::AdmitResult::kFull;
    }
    return decide::AdmitOrVoid(gate, attempt, incarnation, wanted, Now());
  });
  if (result == decide::AdmitResult::kDuplicate) {
    // A duplicate message. The first one is answered on its own stream. This
    // one gets no answer: a refusal would mean "not run" to the entry.
    LogLine("attempt_repeated").With("request", request_id).Warn();
    co_return;
  }
  if (result != decide::AdmitResult::kAdmitted) {
    const std::string reason =
        over_max_running ? peer::kAboveMaxRunning : ToString(result);
    co_await Refuse(admitted, reason, writer);
    co_return;
  }
  m_journal.Record(request_id,
                   LogLine("entered")
                       .With("call", attempt.m_call)
                       .With("attempt", uint64_t{attempt.m_number})
                       .With("target", m_host)
                       .With("digest", ToString(admitted.m_digest)));
  co_await Forward(admitted, std::move(request), writer);
  m_gate.With([&](decide::GateState& gate) {
    decide::EndAttempt(gate, attempt, Now());
    return 0;
  });
}

Awaitable<void> AttemptServer::Refuse(AdmittedAttempt admitted,
                                      std::string reason,
                                      wire::ResponseWriter& writer) {
  m_journal.Record(admitted.m_request,
                   LogLine("gate_refused")
                       .With("attempt", uint64_t{admitted.m_attempt.m_number})
                       .With("target", m_host)
                       .With("reason", reason));
  wire::Response response;
  response.m_status = 503;
  response.m_headers[peer::kOutcome] = "refused";
  response.m_headers[peer::kReason] = reason;
  SetAttemptHeaders(admitted.m_attempt, response.m_headers);
  response.m_headers[peer::kRunning] = std::to_string(admitted.m_running);
  co_await writer.Send(std::move(response));
}

Awaitable<void> AttemptServer::Forward(AdmittedAttempt admitted,
                                       wire::Request request,
                                       wire::ResponseWriter& writer) {
  const auto wait =
      std::chrono::milliseconds(NumberIn(request.m_headers, peer::kDeadline));
  const TimePoint deadline = Now() + wait;
  admitted.m_deadline = deadline;
  auto opened = co_await m_engine.Send(MakeEngineRequest(request), deadline);
  if (!opened && opened.error().m_code == FailureCode::kUnreachable) {
    co_await Refuse(admitted, "engine_unreachable", writer);
    co_return;
  }
  // A non-idempotent call is not cancelled when the entry disconnects: its
  // effect could be left half done.
  std::unique_ptr<wire::CancelOnDisconnect> cancel;
  if (opened && admitted.m_idempotent)
    cancel = std::make_unique<wire::CancelOnDisconnect>(writer, **opened);
  AsyncResult<wire::ResponseHead> head = wire::ResponseHead();
  if (opened)
    head = co_await (*opened)->ReadHead(deadline);
  else
    head = opened.error();
  if (!head) {
    m_journal.Record(admitted.m_request,
                     LogLine("engine_failed").With(head.error()));
    wire::ResponseHead failed{502, {}};
    failed.m_headers[peer::kOutcome] = "ran";
    SetAttemptHeaders(admitted.m_attempt, failed.m_headers);
    co_await writer.Start(std::move(failed));
    wire::Headers trailers;
    trailers[peer::kOutcome] = "failed";
    trailers[peer::kReason] = "engine_failed";
    co_await writer.Finish(std::move(trailers));
    co_return;
  }
  co_await ForwardAnswer(admitted, **opened, std::move(*head), writer);
}

bool AttemptServer::MayForwardAnswer(const AdmittedAttempt& admitted,
                                     const Digest& reported) {
  return m_gate.With([&](decide::GateState& gate) {
    return decide::MayForward(gate, admitted.m_generation, reported);
  });
}

Awaitable<void> AttemptServer::ForwardAnswer(AdmittedAttempt admitted,
                                             wire::ResponseReader& reader,
                                             wire::ResponseHead head,
                                             wire::ResponseWriter& writer) {
  const Digest reported = DigestIn(head.m_headers);
  // An error response of the engine doesn't depend on the weights, so it passes
  // without a version.
  const bool exempt = reported.empty() && head.m_status >= kFirstErrorStatus;
  wire::ResponseHead forwarded{head.m_status,
                               ForwardedResponseHeaders(head.m_headers)};
  SetAttemptHeaders(admitted.m_attempt, forwarded.m_headers);
  forwarded.m_headers[peer::kOutcome] = "ran";
  forwarded.m_headers[peer::kTarget] = m_host;
  forwarded.m_headers[peer::kRunning] = std::to_string(admitted.m_running);
  forwarded.m_headers[peer::kDigest] = ToString(reported);
  forwarded.m_headers[peer::kVersion] = ToString(reported);
  bool alive = co_await writer.Start(std::move(forwarded));
  AnswerChecksum check;
  std::string reason;
  // The answer to a non-idempotent call is read to its end even if the entry
  // has disconnected.
  while (alive || !admitted.m_idempotent) {
    // Checked before each piece: if a load has begun since, or if the engine
    // answers with another version, the answer ends as failed. Otherwise it
    // could mix the output of two versions.
    if (!exempt && !MayForwardAnswer(admitted, reported)) {
      reason = "version_changed";
      break;
    }
    auto piece = co_await reader.ReadBody(
        PieceDeadline(admitted.m_deadline, admitted.m_idempotent));
    if (!piece) {
      reason = ToString(piece.error());
      break;
    }
    if (!piece->has_value())
      break;
    check.Add(**piece);
    alive = co_await writer.Write(std::move(**piece));
  }
  wire::Headers trailers;
  check.WriteTrailers(trailers);
  trailers[peer::kOutcome] = reason.empty() ? "completed" : "failed";
  trailers[peer::kReason] = reason;
  m_journal.Record(admitted.m_request,
                   LogLine("answered")
                       .With("attempt", uint64_t{admitted.m_attempt.m_number})
                       .With("target", m_host)
                       .With("digest", ToString(reported))
                       .With("bytes", check.length())
                       .With("caller_gone", !alive)
                       .With("reason", reason));
  co_await writer.Finish(std::move(trailers));
}

wire::Response AttemptServer::HandleVoid(const wire::Request& request) {
  const decide::Attempt attempt = AttemptOf(request);
  const std::string request_id = wire::Get(request.m_headers, peer::kRequestId);
  const uint64_t incarnation = NumberIn(request.m_headers, peer::kIncarnation);
  const bool never_started = m_gate.With([&](decide::GateState& gate) {
    return decide::HandleVoidRequest(gate, attempt, incarnation, Now()) ==
           decide::VoidReply::kNeverStarted;
  });
  m_journal.Record(request_id, LogLine("void_attempt")
                                   .With("attempt", uint64_t{attempt.m_number})
                                   .With("target", m_host)
                                   .With("never_started", never_started));
  return {200, {}, never_started ? "never_started" : "started"};
}

}  // namespace verbenalead::daemon
