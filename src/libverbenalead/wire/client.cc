#include "wire/client.h"

#include <algorithm>

namespace verbenalead::wire {

Awaitable<AsyncResult<Response>> Fetch(Client& client,
                                       Endpoint endpoint,
                                       Request request,
                                       TimePoint deadline,
                                       size_t max_body) {
  const std::string step = request.m_method + " " + PathOf(request);
  auto opened = co_await client.Open(endpoint, std::move(request), deadline);
  if (!opened)
    co_return opened.error();
  ResponseReader& reader = **opened;
  auto head = co_await reader.ReadHead(deadline);
  if (!head)
    co_return head.error();
  Response response{head->m_status, std::move(head->m_headers), ""};
  while (true) {
    auto piece = co_await reader.ReadBody(deadline);
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      co_return response;
    if (response.m_body.size() + (*piece)->size() > max_body) {
      co_return Failure{FailureCode::kInvalid, step, ToString(endpoint),
                        "the body is too long"};
    }
    response.m_body += **piece;
  }
}

Awaitable<AsyncResult<Response>> FetchByProgress(Client& client,
                                                 Endpoint endpoint,
                                                 Request request,
                                                 ProgressTimeouts timeouts) {
  const TimePoint end = Now() + timeouts.m_total;
  const TimePoint head_deadline = Now() + timeouts.m_head;
  auto opened =
      co_await client.Open(endpoint, std::move(request), head_deadline);
  if (!opened)
    co_return opened.error();
  ResponseReader& reader = **opened;
  auto head = co_await reader.ReadHead(head_deadline);
  if (!head)
    co_return head.error();
  Response response(head->m_status, std::move(head->m_headers), "");
  while (true) {
    const TimePoint deadline = std::min(end, Now() + timeouts.m_piece);
    auto piece = co_await reader.ReadBody(deadline);
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      co_return response;
    response.m_body += **piece;
  }
}

}  // namespace verbenalead::wire
