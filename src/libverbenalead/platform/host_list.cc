#include "platform/host_list.h"

#include "base/catch_failure.h"

namespace verbenalead::platform {

Awaitable<AsyncResult<std::vector<model::Host>>> HostList::Get() {
  wire::Request request;
  request.m_path = "/hosts";
  auto response = co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                       Now() + m_timeout);
  if (!response)
    co_return response.error();
  if (response->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "GET /hosts", ToString(m_endpoint),
                      "status " + std::to_string(response->m_status)};
  }
  co_return CatchFailure(
      [&] { return model::ParseHostList(response->m_body); });
}

}  // namespace verbenalead::platform
