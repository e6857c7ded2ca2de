#include "entry/attempt.h"

#include "decide/attempts/not_run_promise.h"

namespace verbenalead::entry {
namespace {

constexpr int kMisdirected = 421;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  return status / 100 == 2;
}

/// Why the answer with this head isn't the replica's answer to `request_id`;
/// null if it is.
///
/// Failure: a replica in trouble sends bytes in the form of a success. Symptom:
/// the caller takes them for the answer. A replica signs each success and names
/// the request in it, so a success without either isn't its answer.
const char* ForeignReason(const wire::ResponseHead& head,
                          const platform::AnswerMetadata& metadata,
                          const std::string& request_id) {
  if (!metadata.m_request_id.empty() && metadata.m_request_id != request_id)
    return "the answer belongs to another request";
  if (metadata.m_not_run || !IsSuccess(head.m_status))
    return nullptr;
  if (!metadata.m_signed)
    return "a success without a signature";
  if (metadata.m_request_id != request_id)
    return "a success that names no request";
  return nullptr;
}

/// Sets the result of the attempt from the head of its answer.
void Judge(AttemptResult& result, const std::string& request_id) {
  using decide::AttemptEnd;
  result.m_metadata = platform::DecodeAnswer(result.m_head);
  if (const char* reason =
          ForeignReason(result.m_head, result.m_metadata, request_id)) {
    result.m_end = AttemptEnd::kBroken;
    result.m_reason = reason;
    result.m_failure = FailureCode::kCorrupt;
    return;
  }
  if (result.m_metadata.m_not_run) {
    result.m_may_have_run = false;
    result.m_end = result.m_head.m_status == kMisdirected
                       ? AttemptEnd::kWrongReplica
                       : AttemptEnd::kNotRun;
    result.m_reason = "status " + std::to_string(result.m_head.m_status);
    return;
  }
  const int status = result.m_head.m_status;
  // A replica that rejects a call says so. One that ends a run with a status of
  // rejections has failed, like one that ends it with 500.
  const bool failed =
      status >= kFirstServerError || decide::PromisesNotRun(status);
  result.m_end = failed ? AttemptEnd::kFailed : AttemptEnd::kGood;
  if (failed)
    result.m_reason = "status " + std::to_string(status);
}

}  // namespace

Awaitable<void> OpenAttempt(wire::Client& http,
                            Endpoint endpoint,
                            wire::Request request,
                            TimePoint deadline,
                            AttemptResult& result) {
  auto opened = co_await http.Open(endpoint, std::move(request), deadline);
  if (opened) {
    result.m_may_have_run = true;
    result.m_reader = std::move(*opened);
    co_return;
  }
  const bool sent = opened.error().m_code != FailureCode::kUnreachable;
  result.m_may_have_run = sent;
  result.m_end =
      sent ? decide::AttemptEnd::kBroken : decide::AttemptEnd::kUnreachable;
  result.m_reason = ToString(opened.error());
  result.m_failure = opened.error().m_code;
}

Awaitable<void> ReadAnswerHead(std::string request_id,
                               TimePoint deadline,
                               AttemptResult& result) {
  auto head = co_await result.m_reader->ReadHead(deadline);
  if (!head) {
    result.m_end = decide::AttemptEnd::kBroken;
    result.m_reason = ToString(head.error());
    result.m_failure = head.error().m_code;
    result.m_reader.reset();
    co_return;
  }
  result.m_has_head = true;
  result.m_head = std::move(*head);
  Judge(result, request_id);
}

}  // namespace verbenalead::entry
