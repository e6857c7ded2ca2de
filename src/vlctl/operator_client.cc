#include "vlctl/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

#include "base/secret.h"

namespace verbenalead::vlctl {
namespace {

namespace asio = boost::asio;

/// Runs `task` on this thread and returns its result when it has finished.
template <typename T>
T RunBlocking(Awaitable<T> task) {
  asio::io_context context(1);
  std::optional<T> result;
  asio::co_spawn(context, std::move(task), [&](std::exception_ptr, T value) {
    result = std::move(value);
  });
  context.run();
  return std::move(*result);
}

Awaitable<AsyncResult<bool>> ReadLines(
    http::Client& client,
    Endpoint entry,
    wire::Request request,
    const std::function<bool(const std::string&)>& on_line) {
  auto opened = co_await client.Open(entry, std::move(request), Now() + 10s);
  if (!opened)
    co_return opened.error();
  auto head = co_await (*opened)->ReadHead(Now() + 10s);
  if (!head)
    co_return head.error();
  if (head->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "watch", ToString(entry),
                      "status " + std::to_string(head->m_status)};
  }
  std::string pending;
  while (true) {
    auto piece = co_await (*opened)->ReadBody(Now() + 60s);
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      co_return true;
    pending += **piece;
    for (size_t end; (end = pending.find('\n')) != std::string::npos;
         pending.erase(0, end + 1)) {
      if (end > 0 && !on_line(pending.substr(0, end)))
        co_return true;
    }
  }
}

}  // namespace

AsyncResult<bool> OperatorClient::UseToken(const std::string& path) {
  auto tokens = ReadSecrets(path);
  if (!tokens)
    return tokens.error();
  m_token = tokens->front();
  return true;
}

AsyncResult<bool> OperatorClient::UseTls(const std::string& path) {
  return m_client->UseTls(path);
}

void OperatorClient::AddAuthorization(wire::Request& request) const {
  if (!m_token.empty())
    request.m_headers["authorization"] = "Bearer " + m_token;
}

AsyncResult<wire::Response> OperatorClient::Call(
    const std::string& method,
    const std::string& path,
    const wire::Headers& headers,
    const std::string& body) const {
  wire::Request request;
  request.m_method = method;
  request.m_path = path;
  request.m_headers = headers;
  request.m_body = body;
  AddAuthorization(request);
  return RunBlocking(
      wire::Fetch(*m_client, m_entry, std::move(request), Now() + m_timeout));
}

AsyncResult<bool> OperatorClient::StreamLines(
    const std::string& path,
    const std::function<bool(const std::string&)>& on_line) const {
  wire::Request request;
  request.m_path = path;
  AddAuthorization(request);
  return RunBlocking(
      ReadLines(*m_client, m_entry, std::move(request), on_line));
}

}  // namespace verbenalead::vlctl
