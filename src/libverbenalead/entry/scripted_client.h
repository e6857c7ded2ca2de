#ifndef VERBENALEAD_ENTRY_SCRIPTED_CLIENT_H_
#define VERBENALEAD_ENTRY_SCRIPTED_CLIENT_H_

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/client.h"

namespace verbenalead::entry {

/// One answer that a scripted replica gives.
struct ScriptedAnswer {
  /// Set: no connection is made, or it breaks before the head.
  std::optional<FailureCode> m_failure;
  wire::ResponseHead m_head;
  std::vector<std::string> m_pieces;
  /// The connection breaks after the last piece.
  bool m_breaks = false;
};

/// Stands for replicas in tests: gives the answers of a script in order and
/// keeps what it was sent.
class ScriptedClient : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint, wire::Request request, TimePoint) override {
    m_requests.push_back(std::move(request));
    ScriptedAnswer answer;
    answer.m_failure = FailureCode::kUnreachable;
    if (!m_answers.empty()) {
      answer = std::move(m_answers.front());
      m_answers.pop_front();
    }
    if (answer.m_failure == FailureCode::kUnreachable)
      co_return Failure{FailureCode::kUnreachable, "connect", "replica", "no"};
    co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
        std::make_unique<Reader>(std::move(answer), m_head_deadlines));
  }

  std::deque<ScriptedAnswer> m_answers;
  std::vector<wire::Request> m_requests;
  /// Until when each head was waited for.
  std::vector<TimePoint> m_head_deadlines;

 private:
  class Reader : public wire::ResponseReader {
   public:
    Reader(ScriptedAnswer answer, std::vector<TimePoint>& head_deadlines)
        : m_answer(std::move(answer)), m_head_deadlines(head_deadlines) {}

    Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(
        TimePoint deadline) override {
      m_head_deadlines.push_back(deadline);
      if (m_answer.m_failure)
        co_return Failure{*m_answer.m_failure, "read head", "replica", "no"};
      co_return m_answer.m_head;
    }
    Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
        TimePoint) override {
      if (m_next < m_answer.m_pieces.size())
        co_return std::optional<std::string>(m_answer.m_pieces[m_next++]);
      if (m_answer.m_breaks)
        co_return Failure{FailureCode::kBroken, "read body", "replica", "cut"};
      co_return std::optional<std::string>();
    }
    const wire::Headers& trailers() const override { return m_trailers; }

   private:
    ScriptedAnswer m_answer;
    std::vector<TimePoint>& m_head_deadlines;
    size_t m_next = 0;
    wire::Headers m_trailers;
  };
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SCRIPTED_CLIENT_H_
