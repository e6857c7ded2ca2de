#include "daemon/attempt_runner.h"

#include <algorithm>

#include "base/sha256_hasher.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

using decide::AttemptEnd;

constexpr char kEventStream[] = "text/event-stream";
constexpr size_t kMaxAnswer = size_t{16} << 20;
/// How long the question "did it start?" may take.
constexpr Duration kVoidTimeout = 2s;

wire::Request MakeAttempt(const model::Call& call,
                          const decide::Placement& placement,
                          uint32_t number,
                          wire::Request request) {
  wire::Headers headers;
  const std::string type = wire::Get(request.m_headers, "content-type");
  if (!type.empty())
    headers["content-type"] = type;
  if (!call.idempotent())
    headers["idempotency-key"] = call.idempotency_key();
  headers[peer::kPath] = request.m_path;
  headers["x-method"] = request.m_method;
  headers[peer::kRequestId] = call.id();
  headers[peer::kAttempt] = std::to_string(number);
  headers[peer::kIncarnation] = std::to_string(placement.m_incarnation);
  headers[peer::kOrganisation] = call.organisation();
  headers[peer::kDigest] = ToString(placement.m_digest);
  headers[peer::kDeadline] =
      std::to_string(ToMilliseconds(call.deadline() - Now()));
  request.m_method = "POST";
  request.m_path = "/v1/attempt";
  request.m_headers = std::move(headers);
  return request;
}

AttemptReport Ended(AttemptEnd end, std::string reason, bool broken) {
  AttemptReport report;
  report.m_end = end;
  report.m_reason = std::move(reason);
  report.m_broken = broken;
  return report;
}

/// Takes in an answer piece by piece.
struct AnswerCheck {
  Sha256Hasher m_hasher;
  uint64_t m_length = 0;

  void Add(const std::string& piece) {
    m_hasher.Update(piece);
    m_length += piece.size();
  }
  bool Agrees(const wire::Headers& trailers) {
    return wire::Get(trailers, peer::kLength) == std::to_string(m_length) &&
           wire::Get(trailers, peer::kSha256) == ToString(m_hasher.Finish());
  }
};

wire::ResponseHead HeadForCaller(const wire::ResponseHead& head,
                                 const model::Call& call,
                                 const decide::Placement& placement,
                                 uint32_t number) {
  wire::ResponseHead out{head.m_status, {}};
  out.m_headers["content-type"] = wire::Get(head.m_headers, "content-type");
  out.m_headers[peer::kRequestId] = call.id();
  out.m_headers[peer::kTarget] = placement.m_target;
  out.m_headers[peer::kVersion] = wire::Get(head.m_headers, peer::kVersion);
  out.m_headers[peer::kDigest] = wire::Get(head.m_headers, peer::kDigest);
  out.m_headers[peer::kAttempts] = std::to_string(number);
  return out;
}

}  // namespace

Awaitable<AttemptReport> AttemptRunner::Run(model::Call call,
                                            decide::Placement placement,
                                            uint32_t number,
                                            wire::Request request,
                                            wire::ResponseWriter& writer) {
  auto opened = co_await m_peers.Open(
      placement.m_peer,
      MakeAttempt(call, placement, number, std::move(request)),
      call.deadline());
  if (!opened) {
    // Only kUnreachable is certain: no byte was sent.
    if (opened.error().m_code == FailureCode::kUnreachable)
      co_return Ended(AttemptEnd::kNotRun, ToString(opened.error()), true);
    const bool never = co_await MakeVoid(call, placement, number);
    co_return Ended(never ? AttemptEnd::kNotRun : AttemptEnd::kDoubtful,
                    ToString(opened.error()), true);
  }
  auto head = co_await (*opened)->ReadHead(call.deadline());
  if (!head) {
    const bool never = co_await MakeVoid(call, placement, number);
    co_return Ended(never ? AttemptEnd::kNotRun : AttemptEnd::kDoubtful,
                    ToString(head.error()), true);
  }
  const std::string outcome = wire::Get(head->m_headers, peer::kOutcome);
  if (outcome == "refused") {
    co_return Ended(AttemptEnd::kNotRun,
                    wire::Get(head->m_headers, peer::kReason), false);
  }
  co_return co_await ReadAnswer(**opened, std::move(*head), std::move(call),
                                std::move(placement), number, writer);
}

Awaitable<AttemptReport> AttemptRunner::ReadAnswer(
    wire::ResponseReader& reader,
    wire::ResponseHead head,
    model::Call call,
    decide::Placement placement,
    uint32_t number,
    wire::ResponseWriter& writer) {
  AttemptReport report;
  report.m_version = wire::Get(head.m_headers, peer::kVersion);
  const wire::ResponseHead onward =
      HeadForCaller(head, call, placement, number);
  const bool streamed =
      wire::Get(head.m_headers, "content-type").starts_with(kEventStream);
  AnswerCheck check;
  std::string whole;
  while (true) {
    auto piece = co_await reader.ReadBody(call.deadline());
    if (!piece) {
      // The head said that it started, so it may have had its effect.
      report.m_reason = ToString(piece.error());
      report.m_broken = true;
      co_return report;
    }
    if (!piece->has_value())
      break;
    check.Add(**piece);
    if (streamed) {
      if (!report.m_answer_begun && !co_await writer.Start(onward)) {
        report.m_reason = "the caller has gone";
        co_return report;
      }
      report.m_answer_begun = true;
      if (!co_await writer.Write(std::move(**piece))) {
        report.m_reason = "the caller has gone";
        co_return report;
      }
    } else if (whole.size() + (*piece)->size() > kMaxAnswer) {
      report.m_end = AttemptEnd::kFailed;
      report.m_reason = "the answer is too long";
      co_return report;
    } else {
      whole += **piece;
    }
  }
  const std::string outcome = wire::Get(reader.trailers(), peer::kOutcome);
  if (outcome != "completed") {
    report.m_end = AttemptEnd::kFailed;
    report.m_reason = wire::Get(reader.trailers(), peer::kReason);
    co_return report;
  }
  if (!check.Agrees(reader.trailers())) {
    report.m_reason = "the answer's length or digest is wrong";
    report.m_broken = true;
    co_return report;
  }
  report.m_end = AttemptEnd::kCompleted;
  report.m_answer = {onward.m_status, onward.m_headers, std::move(whole)};
  co_return report;
}

Awaitable<bool> AttemptRunner::MakeVoid(model::Call call,
                                        decide::Placement placement,
                                        uint32_t number) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/v1/void";
  request.m_headers[peer::kRequestId] = call.id();
  request.m_headers[peer::kAttempt] = std::to_string(number);
  request.m_headers[peer::kIncarnation] =
      std::to_string(placement.m_incarnation);
  auto response = co_await wire::Fetch(
      m_peers, placement.m_peer, std::move(request), Now() + kVoidTimeout);
  co_return response && response->m_status == 200 &&
      response->m_body == "never_started";
}

}  // namespace verbenalead::daemon
