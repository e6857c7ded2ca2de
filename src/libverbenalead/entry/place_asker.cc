#include "entry/place_asker.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "entry/entry_news.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;

/// The longest round trip is 4 ms, and a target is busy for a few ms at times.
constexpr Duration kAnswerTimeout = 15ms;
/// A target that died is back after a few seconds.
constexpr Duration kSilentHold = 500ms;

}  // namespace

struct PlaceAsker::Question {
  explicit Question(const asio::any_io_executor& executor)
      : m_timer(executor) {}

  asio::steady_timer m_timer;
  bool m_answered = false;
  bool m_granted = false;
};

Awaitable<bool> PlaceAsker::Ask(std::string service,
                                std::string replica,
                                decide::PoolCall call) {
  decide::ReplicaPool& pool = StateOf(m_state, service).m_pool;
  const auto found = pool.m_replicas.find(replica);
  if (pool.m_prefill_rate <= 0 || found == pool.m_replicas.end())
    co_return true;
  if (m_silent[replica] > Now())
    co_return true;
  const auto executor = co_await asio::this_coro::executor;
  auto question = std::make_shared<Question>(executor);
  const uint64_t ticket = ++m_last_ticket;
  m_questions[ticket] = question;
  links::PlaceRequest request;
  request.m_replica = replica;
  request.m_ticket = ticket;
  request.m_prompt_tokens = call.m_prompt_tokens;
  decide::NoteAsked(pool, replica, call.m_prompt_tokens);
  request.m_calls = CallsAt(found->second);
  const Endpoint target(found->second.m_replica.m_endpoint.address(),
                        m_state.m_options.m_targets_port);
  m_datagrams.Send(target, request);
  question->m_timer.expires_after(kAnswerTimeout);
  boost::system::error_code ignored;
  co_await question->m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  m_questions.erase(ticket);
  decide::NoteAnswer(pool, replica, call.m_prompt_tokens);
  if (question->m_answered)
    co_return question->m_granted;
  m_silent[replica] = Now() + kSilentHold;
  m_state.m_metrics.Count("targets_silent_total", "");
  LogLine("target_silent").With("replica", replica).Info();
  co_return true;
}

void PlaceAsker::TakeAnswer(const links::PlaceAnswer& answer) {
  TakeNews(m_state, answer.m_news, Now());
  const auto found = m_questions.find(answer.m_ticket);
  if (found == m_questions.end())
    return;
  found->second->m_answered = true;
  found->second->m_granted = answer.m_granted;
  found->second->m_timer.cancel();
}

}  // namespace verbenalead::entry
