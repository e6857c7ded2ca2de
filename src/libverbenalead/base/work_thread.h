#ifndef VERBENALEAD_BASE_WORK_THREAD_H_
#define VERBENALEAD_BASE_WORK_THREAD_H_

#include <functional>
#include <memory>

#include "base/awaitable.h"

namespace verbenalead {

/// A thread for work that would hold up an I/O thread, such as hashing chunks.
class WorkThread {
 public:
  WorkThread();
  /// Waits for the work under way.
  ~WorkThread();

  /// Runs `work` on this thread; the calling coroutine goes on, on its own
  /// thread, once it is done. `work` must not throw.
  Awaitable<void> Run(std::function<void()> work);

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_WORK_THREAD_H_
