#include "entry/caller_response.h"

#include <utility>

#include "base/log.h"
#include "decide/attempts/not_run_promise.h"
#include "platform/call_headers.h"

namespace verbenalead::entry {
namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

}  // namespace

std::string WithheldReason(int status) {
  return "the call may have run; status " + std::to_string(status) +
         " would promise that it has not";
}

bool CallerResponse::MaySend(int status) const {
  return !decide::IsFalsePromise(status, m_record.m_progress);
}

int CallerResponse::FailureStatus() const {
  return m_record.Left(Now()) > Duration() ? kBadGateway : kGatewayTimeout;
}

Awaitable<bool> CallerResponse::Send(wire::Response response) {
  if (!MaySend(response.m_status))
    response = ReplacementFor(response.m_status);
  m_sent_status = response.m_status;
  co_return co_await m_writer.Send(std::move(response));
}

Awaitable<bool> CallerResponse::Start(wire::ResponseHead head) {
  if (!MaySend(head.m_status)) {
    wire::Response replacement = ReplacementFor(head.m_status);
    head = wire::ResponseHead(replacement.m_status,
                              std::move(replacement.m_headers));
  }
  m_sent_status = head.m_status;
  co_return co_await m_writer.Start(std::move(head));
}

Awaitable<bool> CallerResponse::Write(std::string bytes) {
  return m_writer.Write(std::move(bytes));
}

Awaitable<bool> CallerResponse::Finish() {
  return m_writer.Finish({});
}

wire::Response CallerResponse::ReplacementFor(int status) {
  const std::string& call = m_record.m_plan.m_call.m_id;
  m_state.m_metrics.Count("answers_withheld_total",
                          "status=\"" + std::to_string(status) + "\"");
  LogLine("answer_withheld")
      .With("call", call)
      .With("status", status)
      .With("sent", FailureStatus())
      .Info();
  return platform::EncodeRefusal(FailureStatus(), call, WithheldReason(status),
                                 Duration());
}

}  // namespace verbenalead::entry
