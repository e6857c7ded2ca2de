#include "front/problem.h"

#include <boost/json.hpp>

#include "peer/header_names.h"

namespace verbenalead::front {
namespace {

namespace json = boost::json;

int StatusFor(const Problem& problem) {
  if (problem.m_status != 0)
    return problem.m_status;
  switch (problem.m_outcome) {
    case model::Outcome::kCompleted:
      return 200;
    case model::Outcome::kRefused:
      return 503;
    case model::Outcome::kFailed:
      return 502;
    case model::Outcome::kUnknown:
      return 504;
  }
  return 500;
}

/// Returns whether the request ran: true, false, or null if that is unknown.
json::value Ran(model::Outcome outcome) {
  if (outcome == model::Outcome::kUnknown)
    return nullptr;
  return outcome != model::Outcome::kRefused;
}

}  // namespace

wire::Response ToResponse(const Problem& problem) {
  wire::Response response;
  response.m_status = StatusFor(problem);
  json::object body{{"type", "about:blank"},
                    {"title", problem.m_reason},
                    {"status", response.m_status},
                    {"outcome", ToString(problem.m_outcome)},
                    {"ran", Ran(problem.m_outcome)},
                    {"request_id", problem.m_request},
                    {"target", problem.m_target},
                    {"model_version", problem.m_version},
                    {"attempts", problem.m_attempts},
                    {"reason", problem.m_reason}};
  wire::Headers& headers = response.m_headers;
  if (problem.m_retry_after > Duration::zero()) {
    const int64_t seconds =
        (ToMilliseconds(problem.m_retry_after) + 999) / 1000;
    headers["retry-after"] = std::to_string(seconds);
    body["retry_after_ms"] = ToMilliseconds(problem.m_retry_after);
  }
  headers["content-type"] = "application/problem+json";
  headers[peer::kOutcome] = ToString(problem.m_outcome);
  headers[peer::kRequestId] = problem.m_request;
  headers[peer::kReason] = problem.m_reason;
  headers[peer::kAttempts] = std::to_string(problem.m_attempts);
  response.m_body = json::serialize(body) + "\n";
  return response;
}

}  // namespace verbenalead::front
