#include "platform/engine_client.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "platform/decode_replica.h"
#include "platform/decode_statements.h"
#include "wire/request_target.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

/// The engine is on the same host and answers within a few ms. One that doesn't
/// answer for this long is down or hangs.
constexpr Duration kTimeout = 1s;

/// Longest answer: a chunk of weights that was staged.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

Failure StatusFailure(const std::string& step,
                      const Endpoint& endpoint,
                      const wire::Response& response) {
  FailureCode code = FailureCode::kRefused;
  if (response.m_status == kNotFound)
    code = FailureCode::kNotFound;
  else if (response.m_status == kConflict)
    code = FailureCode::kConflict;
  return Failure{code, step, ToString(endpoint),
                 "status " + std::to_string(response.m_status)};
}

bool IsSuccess(int status) {
  return status >= kOk && status < kOk + 100;
}

}  // namespace

Awaitable<AsyncResult<wire::Response>> EngineClient::Call(
    wire::Request request) {
  const std::string step = request.m_method + " " + wire::PathOf(request);
  auto response = co_await wire::Fetch(m_http, m_endpoint, std::move(request),
                                       Now() + kTimeout, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (!IsSuccess(response->m_status))
    co_return StatusFailure(step, m_endpoint, *response);
  co_return std::move(*response);
}

Awaitable<AsyncResult<model::EngineReport>> EngineClient::Report() {
  wire::Request request;
  request.m_path = "/report";
  auto response = co_await Call(std::move(request));
  if (!response)
    co_return response.error();
  auto report = CatchFailure([&] { return DecodeReport(response->m_body); });
  if (!report) {
    report.error().m_peer = ToString(m_endpoint);
    co_return report;
  }
  const model::ReplicaStatements statements =
      DecodeStatements({response->m_status, response->m_headers});
  report->m_leaving = statements.m_leaving;
  if (!report->m_cold_left)
    report->m_cold_left = statements.m_cold_left;
  co_return report;
}

Awaitable<AsyncResult<bool>> EngineClient::Stage(std::string model,
                                                 uint32_t chunk,
                                                 std::string bytes) {
  wire::Request request;
  request.m_method = "PUT";
  request.m_path = wire::RequestTarget("/stage-put")
                       .Segment(model)
                       .Field("num", chunk)
                       .Build();
  request.m_headers["content-type"] = "application/octet-stream";
  request.m_body = std::move(bytes);
  auto response = co_await Call(std::move(request));
  if (!response)
    co_return response.error();
  co_return true;
}

Awaitable<AsyncResult<std::string>> EngineClient::ReadStaged(std::string model,
                                                             uint32_t chunk) {
  wire::Request request;
  request.m_path = wire::RequestTarget("/stage-get")
                       .Segment(model)
                       .Field("num", chunk)
                       .Build();
  auto response = co_await Call(std::move(request));
  if (!response)
    co_return response.error();
  co_return std::move(response->m_body);
}

Awaitable<AsyncResult<bool>> EngineClient::Load(std::string model,
                                                uint64_t version,
                                                uint64_t orders) {
  json::object order = {{"op", "start"},
                        {"model", model},
                        {"version", version},
                        {"start_mode", "cut"},
                        {"precondition", orders}};
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/order";
  request.m_headers["content-type"] = "application/json";
  request.m_body = json::serialize(order);
  auto response = co_await Call(std::move(request));
  if (!response)
    co_return response.error();
  co_return response->m_status == kAccepted;
}

}  // namespace verbenalead::platform
