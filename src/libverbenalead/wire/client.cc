#include "wire/client.h"

#include <algorithm>

namespace verbenalead::wire {
namespace {

/// Appends `piece` to the body, which may have `max_body` bytes.
bool TryAppend(Response& response, const std::string& piece, size_t max_body) {
  if (response.m_body.size() + piece.size() > max_body)
    return false;
  response.m_body += piece;
  return true;
}

Failure TooLong(const std::string& step, const Endpoint& endpoint) {
  return Failure{FailureCode::kInvalid, step, ToString(endpoint),
                 "the body is too long"};
}

}  // namespace

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
    if (!TryAppend(response, **piece, max_body))
      co_return TooLong(step, endpoint);
  }
}

Awaitable<AsyncResult<Response>> FetchByProgress(Client& client,
                                                 Endpoint endpoint,
                                                 Request request,
                                                 ProgressTimeouts timeouts,
                                                 size_t max_body) {
  const std::string step = request.m_method + " " + PathOf(request);
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
    if (!TryAppend(response, **piece, max_body))
      co_return TooLong(step, endpoint);
  }
}

}  // namespace verbenalead::wire
