#include "load/generator.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "base/sleep.h"

namespace verbenalead::load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kPollOpen = 1ms;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Awaitable<void> Generator::Run() {
  const auto executor = co_await asio::this_coro::executor;
  m_start = Now() + Seconds(m_options.m_warmup_seconds);
  m_end = m_start + Seconds(m_options.m_seconds);
  if (m_options.m_rate > 0) {
    co_await RunOpenLoop();
  } else {
    for (int i = 0; i < m_options.m_callers; ++i)
      asio::co_spawn(executor, RunCaller(), asio::detached);
    co_await Sleep(m_end - Now());
  }
  while (m_open > 0)
    co_await Sleep(kPollOpen);
  m_elapsed = Seconds(m_options.m_seconds);
}

Awaitable<void> Generator::RunCaller() {
  while (Now() < m_end)
    co_await SendOne(Now());
}

Awaitable<void> Generator::RunOpenLoop() {
  const auto executor = co_await asio::this_coro::executor;
  // Exponential gaps between arrivals model many independent callers (a Poisson
  // process).
  std::exponential_distribution<double> gap(m_options.m_rate);
  for (TimePoint due = Now(); due < m_end; due += Seconds(gap(m_random))) {
    if (due > Now())
      co_await Sleep(due - Now());
    if (m_open >= m_options.m_max_open)
      m_tally.CountUnsent();
    else
      asio::co_spawn(executor, SendOne(due), asio::detached);
  }
}

Awaitable<void> Generator::SendOne(TimePoint due) {
  ++m_open;
  const Endpoint address =
      m_options.m_addresses[m_sent % m_options.m_addresses.size()];
  wire::Request request = NextRequest();
  const TimePoint deadline =
      due + std::chrono::milliseconds(m_options.m_timeout_ms) + 5s;
  TimePoint first{};
  std::string outcome = "no_connection";
  auto opened = co_await m_client.Open(address, std::move(request), deadline);
  if (opened)
    outcome = co_await ReadOutcome(**opened, deadline, first);
  Count(outcome, due, first);
  --m_open;
}

Awaitable<std::string> Generator::ReadOutcome(wire::ResponseReader& reader,
                                              TimePoint deadline,
                                              TimePoint& first) {
  auto head = co_await reader.ReadHead(deadline);
  if (!head)
    co_return "no_answer";
  std::string outcome = wire::Get(head->m_headers, "x-outcome");
  while (true) {
    auto piece = co_await reader.ReadBody(deadline);
    if (!piece)
      co_return "cut";
    if (first == TimePoint())
      first = Now();
    if (!piece->has_value())
      break;
  }
  // Streams and responses of an engine have no outcome header. For them, a
  // response that was read to its end is judged by its status.
  if (outcome.empty())
    outcome = head->m_status == 200 ? "completed" : "failed";
  co_return outcome;
}

void Generator::Count(const std::string& outcome,
                      TimePoint due,
                      TimePoint first) {
  if (due < m_start || due >= m_end)
    return;
  const TimePoint now = Now();
  m_tally.Add(outcome, (first == TimePoint() ? now : first) - due, now - due);
}

wire::Request Generator::NextRequest() {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = m_options.m_path;
  request.m_headers["content-type"] = "application/json";
  request.m_headers["x-organisation"] = m_options.m_organisation;
  request.m_headers["x-timeout-ms"] = std::to_string(m_options.m_timeout_ms);
  if (!m_options.m_priority.empty())
    request.m_headers["priority"] = m_options.m_priority;
  if (!m_options.m_key.empty()) {
    request.m_headers["x-idempotent"] = "false";
    request.m_headers["idempotency-key"] =
        m_options.m_key + std::to_string(m_sent);
  }
  std::string prompt =
      "prefix " + std::to_string(m_random() % m_options.m_prefixes) + " ";
  if (prompt.size() < m_options.m_prompt_bytes)
    prompt.append(m_options.m_prompt_bytes - prompt.size(), 'x');
  prompt += " request " + std::to_string(m_sent++);
  request.m_body =
      json::serialize(json::object{{"model", m_options.m_model},
                                   {"prompt", std::move(prompt)},
                                   {"max_tokens", m_options.m_tokens},
                                   {"stream", m_options.m_stream}});
  return request;
}

}  // namespace verbenalead::load
