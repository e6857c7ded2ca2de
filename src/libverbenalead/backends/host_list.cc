#include "backends/host_list.h"

#include "base/catch_failure.h"

namespace verbenalead::backends {

Awaitable<AsyncResult<std::vector<model::Host>>> HostList::Get() {
  wire::Request request;
  request.m_path = "/hosts";
  if (!m_etag.empty())
    request.m_headers["if-none-match"] = m_etag;
  auto response = co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                       Now() + m_timeout);
  if (!response)
    co_return response.error();
  if (response->m_status == 304)
    co_return m_hosts;
  if (response->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "GET /hosts", ToString(m_endpoint),
                      "status " + std::to_string(response->m_status)};
  }
  auto hosts =
      CatchFailure([&] { return model::ParseHostList(response->m_body); });
  if (hosts) {
    m_hosts = *hosts;
    m_etag = wire::Get(response->m_headers, "etag");
  }
  co_return hosts;
}

}  // namespace verbenalead::backends
