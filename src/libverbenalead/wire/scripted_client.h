#ifndef VERBENALEAD_WIRE_SCRIPTED_CLIENT_H_
#define VERBENALEAD_WIRE_SCRIPTED_CLIENT_H_

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/client.h"

namespace verbenalead::wire {

/// One scripted response of a simulated replica.
struct ScriptedAnswer {
  /// If set, the connection fails (kUnreachable) or reading the head fails with
  /// this code.
  std::optional<FailureCode> m_failure;
  ResponseHead m_head;
  std::vector<std::string> m_pieces;
  /// Whether the connection breaks after the last piece.
  bool m_breaks_at_end = false;
  /// Delay before the head.
  Duration m_head_delay{};
  /// Delay before a piece of the body, by the index of the piece (from 0).
  std::map<size_t, Duration> m_piece_delays;
};

/// A Client for tests that simulates replicas: returns scripted responses in
/// order and records the requests. Fails with kUnreachable when no response is
/// left.
class ScriptedClient : public Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<ResponseReader>>>
  Open(Endpoint, Request request, TimePoint) override {
    m_requests.push_back(std::move(request));
    ScriptedAnswer answer;
    answer.m_failure = FailureCode::kUnreachable;
    if (!m_answers.empty()) {
      answer = std::move(m_answers.front());
      m_answers.pop_front();
    }
    if (answer.m_failure == FailureCode::kUnreachable)
      co_return Failure{FailureCode::kUnreachable, "connect", "replica", "no"};
    co_return AsyncResult<std::unique_ptr<ResponseReader>>(
        std::make_unique<Reader>(std::move(answer), *this));
  }

  std::deque<ScriptedAnswer> m_answers;
  std::vector<Request> m_requests;
  /// The deadline of each read of a head and of a piece of the body.
  std::vector<TimePoint> m_head_deadlines;
  std::vector<TimePoint> m_body_deadlines;
  /// Number of responses that were cancelled.
  size_t m_cancelled = 0;

 private:
  class Reader : public ResponseReader {
   public:
    Reader(ScriptedAnswer answer, ScriptedClient& client)
        : m_answer(std::move(answer)), m_client(client) {}

    Awaitable<AsyncResult<ResponseHead>> ReadHead(TimePoint deadline) override {
      m_client.m_head_deadlines.push_back(deadline);
      const auto silence = m_answer.m_head_delay;
      if (const auto failure_code = co_await AwaitDelay(silence, deadline))
        co_return Failure{*failure_code, "read head", "replica", "silent"};
      if (m_answer.m_failure)
        co_return Failure{*m_answer.m_failure, "read head", "replica", "no"};
      co_return m_answer.m_head;
    }
    Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
        TimePoint deadline) override {
      m_client.m_body_deadlines.push_back(deadline);
      const auto found = m_answer.m_piece_delays.find(m_next);
      if (found != m_answer.m_piece_delays.end()) {
        const Duration silence = std::exchange(found->second, Duration());
        if (const auto failure_code = co_await AwaitDelay(silence, deadline))
          co_return Failure{*failure_code, "read body", "replica", "silent"};
      }
      if (m_cancelled)
        co_return Failure{FailureCode::kCancelled, "read body", "replica", ""};
      if (m_next < m_answer.m_pieces.size())
        co_return std::optional<std::string>(m_answer.m_pieces[m_next++]);
      if (m_answer.m_breaks_at_end)
        co_return Failure{FailureCode::kBroken, "read body", "replica", "cut"};
      co_return std::optional<std::string>();
    }
    const Headers& trailers() const override { return m_trailers; }
    void Cancel() override {
      if (std::exchange(m_cancelled, true))
        return;
      ++m_client.m_cancelled;
      if (m_timer)
        m_timer->cancel();
    }

   private:
    /// Waits for `silence`. Returns why the wait ended early (cancelled or past
    /// `deadline`), or nullopt after the full time.
    Awaitable<std::optional<FailureCode>> AwaitDelay(Duration silence,
                                                     TimePoint deadline) {
      const TimePoint silence_end = Now() + silence;
      if (silence > Duration() && !m_cancelled) {
        m_timer.emplace(co_await boost::asio::this_coro::executor,
                        std::min(silence_end, deadline));
        boost::system::error_code ignored;
        co_await m_timer->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      }
      if (m_cancelled)
        co_return FailureCode::kCancelled;
      if (silence > Duration() && silence_end > deadline)
        co_return FailureCode::kTimeout;
      co_return std::nullopt;
    }

    ScriptedAnswer m_answer;
    ScriptedClient& m_client;
    std::optional<boost::asio::steady_timer> m_timer;
    bool m_cancelled = false;
    size_t m_next = 0;
    Headers m_trailers;
  };
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_SCRIPTED_CLIENT_H_
