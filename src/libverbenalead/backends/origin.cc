#include "backends/origin.h"

namespace verbenalead::backends {
namespace {

AsyncResult<std::string> BodyOf(AsyncResult<wire::Response> response,
                                int wanted_status,
                                const std::string& step,
                                const Endpoint& endpoint) {
  if (!response)
    return response.error();
  if (response->m_status == wanted_status)
    return std::move(response->m_body);
  const bool busy = response->m_status == 429 || response->m_status == 503;
  return Failure{
      busy ? FailureCode::kRefused : FailureCode::kInvalid, step,
      ToString(endpoint),
      busy ? "busy" : "status " + std::to_string(response->m_status)};
}

}  // namespace

Awaitable<AsyncResult<std::string>> Origin::Get(std::string path,
                                                size_t max_bytes) {
  wire::Request request;
  request.m_path = path;
  auto response = co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                       Now() + m_timeout, max_bytes);
  co_return BodyOf(std::move(response), 200, "GET " + path, m_endpoint);
}

Awaitable<AsyncResult<std::string>> Origin::GetRange(std::string path,
                                                     uint64_t offset,
                                                     uint64_t length) {
  wire::Request request;
  request.m_path = path;
  request.m_headers["range"] = "bytes=" + std::to_string(offset) + "-" +
                               std::to_string(offset + length - 1);
  auto response = co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                       Now() + m_timeout, length);
  co_return BodyOf(std::move(response), 206, "GET range " + path, m_endpoint);
}

}  // namespace verbenalead::backends
