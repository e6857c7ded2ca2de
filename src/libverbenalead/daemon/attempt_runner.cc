#include "daemon/attempt_runner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <memory>

#include "base/log.h"
#include "daemon/answer_checksum.h"
#include "daemon/forwarded_headers.h"
#include "peer/header_names.h"
#include "wire/cancel_on_disconnect.h"

namespace verbenalead::daemon {
namespace {

using decide::AttemptVerdict;
using decide::VoidReply;
using model::Outcome;

constexpr char kEventStream[] = "text/event-stream";
constexpr size_t kMaxBufferedAnswer = size_t{16} << 20;
/// Time limit of a request that makes an attempt void.
constexpr Duration kVoidTimeout = 2s;
constexpr char kCallerDisconnected[] = "caller_gone";

wire::Request MakeAttemptRequest(const model::Call& call,
                                 const decide::Placement& placement,
                                 uint32_t number,
                                 wire::Request request) {
  wire::Headers headers = ForwardedRequestHeaders(request.m_headers);
  if (!call.idempotent())
    headers["idempotency-key"] = call.idempotency_key();
  headers[peer::kPath] = request.m_path;
  headers[peer::kMethod] = request.m_method;
  headers[peer::kRequestId] = call.id();
  headers[peer::kCall] = call.instance();
  headers[peer::kAttempt] = std::to_string(number);
  headers[peer::kIncarnation] = std::to_string(placement.m_incarnation);
  headers[peer::kOrganisation] = call.organisation();
  headers[peer::kDigest] = ToString(placement.m_digest);
  if (placement.m_max_running != UINT32_MAX)
    headers[peer::kMaxRunning] = std::to_string(placement.m_max_running);
  headers[peer::kDeadline] = std::to_string(
      std::max<int64_t>(ToMilliseconds(call.deadline() - Now()), 0));
  request.m_method = "POST";
  request.m_path = "/v1/attempt";
  request.m_headers = std::move(headers);
  return request;
}

wire::ResponseHead MakeCallerHead(const wire::ResponseHead& head,
                                  const model::Call& call,
                                  const decide::Placement& placement,
                                  uint32_t number) {
  wire::ResponseHead out{head.m_status,
                         ForwardedResponseHeaders(head.m_headers)};
  out.m_headers[peer::kRequestId] = call.id();
  out.m_headers[peer::kTarget] = placement.m_target;
  out.m_headers[peer::kVersion] = wire::Get(head.m_headers, peer::kVersion);
  out.m_headers[peer::kDigest] = wire::Get(head.m_headers, peer::kDigest);
  out.m_headers[peer::kAttempts] = std::to_string(number);
  return out;
}

/// True if `head` belongs to this attempt and not to another one.
bool IsAnswerTo(const wire::ResponseHead& head,
                const model::Call& call,
                uint32_t number) {
  return wire::Get(head.m_headers, peer::kCall) == call.instance() &&
         wire::Get(head.m_headers, peer::kAttempt) == std::to_string(number);
}

/// The last event of a stream that is cut short. It contains the outcome.
std::string MakeErrorEvent(const AttemptReport& report,
                           const model::Call& call) {
  const Outcome outcome = report.m_end == AttemptVerdict::kFailed
                              ? Outcome::kFailed
                              : Outcome::kUnknown;
  const boost::json::object data{{"outcome", ToString(outcome)},
                                 {"request_id", call.id()},
                                 {"reason", report.m_reason}};
  return "event: error\ndata: " + boost::json::serialize(data) + "\n\n";
}

}  // namespace

/// The state of one attempt in progress.
struct AttemptRunner::Attempt {
  model::Call m_call;
  decide::Placement m_placement;
  uint32_t m_number = 0;
  wire::ResponseWriter& m_writer;
  decide::AttemptObservations m_evidence;
  AttemptReport m_report;
  wire::ResponseHead m_forwarded_head;
  bool m_streamed = false;
  bool m_caller_connected = true;
  std::string m_buffered_body;
  AnswerChecksum m_check;

  /// Nothing more can be sent to a caller that has disconnected. Marking the
  /// answer as begun prevents a retry.
  void RecordCallerDisconnect() {
    m_caller_connected = false;
    m_report.m_answer_started = true;
    m_report.m_reason = kCallerDisconnected;
  }
};

Awaitable<AttemptReport> AttemptRunner::Run(model::Call call,
                                            decide::Placement placement,
                                            uint32_t number,
                                            wire::Request request,
                                            wire::ResponseWriter& writer) {
  Attempt attempt{call, placement, number, writer};
  if (call.idempotent() && writer.disconnected()) {
    attempt.RecordCallerDisconnect();
    co_return std::move(attempt.m_report);
  }
  wire::Request message =
      MakeAttemptRequest(call, placement, number, std::move(request));
  auto opened = co_await m_peers.Open(placement.m_peer, std::move(message),
                                      call.deadline());
  if (opened) {
    co_await ReadAnswer(**opened, attempt);
  } else {
    // Only kUnreachable guarantees that no byte was sent.
    attempt.m_evidence.m_sent =
        opened.error().m_code != FailureCode::kUnreachable;
    RecordTransportFailure(attempt, opened.error());
  }
  if (!attempt.m_caller_connected && call.idempotent())
    co_return std::move(attempt.m_report);
  // Past its deadline an idempotent call ends as "unknown" without a request to
  // make the attempt void: the reply would arrive after the caller has stopped
  // waiting.
  const bool in_time = Now() < call.deadline();
  if (decide::NeedsVoidRequest(attempt.m_evidence) &&
      (in_time || !call.idempotent()))
    attempt.m_evidence.m_void = co_await RequestVoid(attempt);
  attempt.m_report.m_end = decide::Judge(attempt.m_evidence);
  co_await EndWithErrorEvent(attempt);
  co_return std::move(attempt.m_report);
}

void AttemptRunner::RecordTransportFailure(Attempt& attempt,
                                           const Failure& failure) {
  if (failure.m_code == FailureCode::kCancelled) {
    attempt.RecordCallerDisconnect();
    return;
  }
  attempt.m_report.m_reason = ToString(failure);
  attempt.m_report.m_target_faulty = true;
}

Awaitable<void> AttemptRunner::ReadAnswer(wire::ResponseReader& reader,
                                          Attempt& attempt) {
  // A non-idempotent call continues after its caller has disconnected: its
  // outcome is recorded for a later call with the same idempotency key.
  std::unique_ptr<wire::CancelOnDisconnect> cancel;
  if (attempt.m_call.idempotent())
    cancel =
        std::make_unique<wire::CancelOnDisconnect>(attempt.m_writer, reader);
  auto head = co_await reader.ReadHead(attempt.m_call.deadline());
  if (!head) {
    RecordTransportFailure(attempt, head.error());
    co_return;
  }
  if (!IsAnswerTo(*head, attempt.m_call, attempt.m_number)) {
    LogLine("answer_dropped")
        .With("request", attempt.m_call.id())
        .With("attempt", uint64_t{attempt.m_number})
        .With("target", attempt.m_placement.m_target)
        .With("reason", "response belongs to another attempt")
        .Warn();
    attempt.m_report.m_reason = "answer_mismatch";
    attempt.m_report.m_target_faulty = true;
    co_return;
  }
  const std::string running = wire::Get(head->m_headers, peer::kRunning);
  if (!running.empty()) {
    attempt.m_report.m_running =
        static_cast<uint32_t>(std::strtoul(running.c_str(), nullptr, 10));
  }
  if (wire::Get(head->m_headers, peer::kOutcome) == "refused") {
    attempt.m_evidence.m_gate_refused = true;
    attempt.m_report.m_reason = wire::Get(head->m_headers, peer::kReason);
    co_return;
  }
  attempt.m_evidence.m_was_admitted = true;
  attempt.m_report.m_version = wire::Get(head->m_headers, peer::kVersion);
  attempt.m_forwarded_head = MakeCallerHead(
      *head, attempt.m_call, attempt.m_placement, attempt.m_number);
  attempt.m_streamed =
      wire::Get(head->m_headers, "content-type").starts_with(kEventStream);
  if (co_await ReadAnswerBody(reader, attempt))
    EvaluateEnd(reader.trailers(), attempt);
}

Awaitable<bool> AttemptRunner::ReadAnswerBody(wire::ResponseReader& reader,
                                              Attempt& attempt) {
  while (true) {
    auto piece = co_await reader.ReadBody(attempt.m_call.deadline());
    if (!piece) {
      RecordTransportFailure(attempt, piece.error());
      co_return false;
    }
    if (!piece->has_value())
      co_return true;
    attempt.m_check.Add(**piece);
    if (attempt.m_streamed) {
      co_await ForwardAnswer(std::move(**piece), attempt);
      if (!attempt.m_caller_connected && attempt.m_call.idempotent())
        co_return false;
    } else if (attempt.m_buffered_body.size() + (*piece)->size() >
               kMaxBufferedAnswer) {
      attempt.m_evidence.m_reported_failure = true;
      attempt.m_report.m_reason = "the answer is too long";
      co_return false;
    } else {
      attempt.m_buffered_body += **piece;
    }
  }
}

Awaitable<void> AttemptRunner::ForwardAnswer(std::string piece,
                                             Attempt& attempt) {
  if (!attempt.m_caller_connected)
    co_return;
  bool connected = true;
  if (!attempt.m_report.m_answer_started)
    connected = co_await attempt.m_writer.Start(attempt.m_forwarded_head);
  attempt.m_report.m_answer_started = true;
  if (connected)
    connected = co_await attempt.m_writer.Write(std::move(piece));
  if (!connected)
    attempt.RecordCallerDisconnect();
}

void AttemptRunner::EvaluateEnd(const wire::Headers& trailers,
                                Attempt& attempt) {
  AttemptReport& report = attempt.m_report;
  if (wire::Get(trailers, peer::kOutcome) != "completed") {
    attempt.m_evidence.m_reported_failure = true;
    report.m_reason = wire::Get(trailers, peer::kReason);
    return;
  }
  attempt.m_evidence.m_reported_success = true;
  attempt.m_evidence.m_intact = attempt.m_check.MatchesTrailers(trailers);
  if (!attempt.m_evidence.m_intact) {
    report.m_reason = "the answer's length or digest is wrong";
    report.m_target_faulty = true;
    return;
  }
  report.m_answer = {attempt.m_forwarded_head.m_status,
                     attempt.m_forwarded_head.m_headers,
                     std::move(attempt.m_buffered_body)};
}

Awaitable<void> AttemptRunner::EndWithErrorEvent(Attempt& attempt) {
  const AttemptReport& report = attempt.m_report;
  if (!report.m_answer_started || !attempt.m_caller_connected ||
      report.m_end == AttemptVerdict::kCompleted)
    co_return;
  std::string event = MakeErrorEvent(report, attempt.m_call);
  co_await attempt.m_writer.Write(std::move(event));
}

Awaitable<VoidReply> AttemptRunner::RequestVoid(const Attempt& attempt) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/v1/void";
  request.m_headers[peer::kRequestId] = attempt.m_call.id();
  request.m_headers[peer::kCall] = attempt.m_call.instance();
  request.m_headers[peer::kAttempt] = std::to_string(attempt.m_number);
  request.m_headers[peer::kIncarnation] =
      std::to_string(attempt.m_placement.m_incarnation);
  auto response =
      co_await wire::Fetch(m_peers, attempt.m_placement.m_peer,
                           std::move(request), Now() + kVoidTimeout);
  if (!response || response->m_status != 200)
    co_return VoidReply::kNone;
  co_return response->m_body == "never_started" ? VoidReply::kNeverStarted
                                                : VoidReply::kStarted;
}

}  // namespace verbenalead::daemon
