#include "daemon/trace_gatherer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <sstream>

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kAskTimeout = 150ms;

/// Answers that are awaited at once; all on one thread.
struct Gathering {
  explicit Gathering(const asio::any_io_executor& executor)
      : m_done(executor, TimePoint::max()) {}

  size_t m_open = 0;
  std::vector<std::string> m_lines;
  asio::steady_timer m_done;
};

void Take(Gathering& gathering, const std::string& body) {
  std::istringstream stream(body);
  for (std::string line; std::getline(stream, line);)
    gathering.m_lines.push_back(line);
}

Awaitable<void> Ask(std::shared_ptr<Gathering> gathering,
                    std::string request_id,
                    wire::Client& peers,
                    model::Host host) {
  wire::Request request;
  request.m_path = "/v1/trace/" + request_id;
  auto response = co_await wire::Fetch(peers, host.peer(), std::move(request),
                                       Now() + kAskTimeout);
  if (response)
    Take(*gathering, response->m_body);
  else
    gathering->m_lines.push_back(
        LogLine("host_silent").With("host", host.name()).text());
  if (--gathering->m_open == 0)
    gathering->m_done.cancel();
}

}  // namespace

Awaitable<std::vector<std::string>> GatherTrace(
    std::string request,
    const Journal& journal,
    wire::Client& peers,
    std::vector<model::Host> hosts) {
  const auto executor = co_await asio::this_coro::executor;
  auto gathering = std::make_shared<Gathering>(executor);
  gathering->m_lines = journal.Find(request);
  gathering->m_open = hosts.size();
  for (const model::Host& host : hosts) {
    asio::co_spawn(executor, Ask(gathering, request, peers, host),
                   asio::detached);
  }
  while (gathering->m_open > 0) {
    boost::system::error_code ignored;
    co_await gathering->m_done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  std::vector<std::string> lines = std::move(gathering->m_lines);
  std::sort(lines.begin(), lines.end());
  const bool found = std::any_of(
      lines.begin(), lines.end(),
      [](const std::string& line) { return line.starts_with("unix_us="); });
  co_return found ? lines : std::vector<std::string>();
}

}  // namespace verbenalead::daemon
