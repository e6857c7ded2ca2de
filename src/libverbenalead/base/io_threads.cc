#include "base/io_threads.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace verbenalead {

namespace asio = boost::asio;

struct IoThreads::State {
  std::vector<std::unique_ptr<asio::io_context>> m_contexts;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>>
      m_work;
  std::atomic<size_t> m_next{0};
};

IoThreads::IoThreads(int count) : m_state(std::make_unique<State>()) {
  for (int i = 0; i < std::max(count, 1); ++i) {
    // Each context is run by a single thread; the concurrency hint 1 lets Asio
    // omit locks.
    m_state->m_contexts.push_back(std::make_unique<asio::io_context>(1));
    m_state->m_work.push_back(
        asio::make_work_guard(*m_state->m_contexts.back()));
  }
}

IoThreads::~IoThreads() {
  Stop();
}

asio::any_io_executor IoThreads::main() {
  return m_state->m_contexts.front()->get_executor();
}

asio::any_io_executor IoThreads::Next() {
  const size_t next = m_state->m_next.fetch_add(1, std::memory_order_relaxed);
  return m_state->m_contexts[next % m_state->m_contexts.size()]->get_executor();
}

int IoThreads::count() const {
  return static_cast<int>(m_state->m_contexts.size());
}

void IoThreads::Run() {
  std::vector<std::thread> threads;
  for (size_t i = 1; i < m_state->m_contexts.size(); ++i)
    threads.emplace_back([this, i] { m_state->m_contexts[i]->run(); });
  m_state->m_contexts.front()->run();
  for (std::thread& thread : threads)
    thread.join();
}

void IoThreads::Stop() {
  for (auto& context : m_state->m_contexts)
    context->stop();
}

}  // namespace verbenalead
