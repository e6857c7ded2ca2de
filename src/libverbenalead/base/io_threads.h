#ifndef VERBENALEAD_BASE_IO_THREADS_H_
#define VERBENALEAD_BASE_IO_THREADS_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace verbenalead {

/// The I/O threads of a process. Each thread runs its own io_context, so the
/// state of a connection is accessed by one thread only and needs no lock.
/// State that threads share (decision state) is split into shards, each
/// protected by its own lock.
class IoThreads {
 public:
  /// Creates `count` I/O contexts; a count below 1 is treated as 1.
  explicit IoThreads(int count);
  ~IoThreads();

  /// Returns the executor of the first thread, which also runs the process's
  /// timers.
  boost::asio::any_io_executor main();
  /// Returns the executor of the next thread in round-robin order.
  /// Thread-safe.
  boost::asio::any_io_executor Next();
  int count() const;

  /// Runs all contexts, the first one on the calling thread, until Stop().
  void Run();
  /// Thread-safe.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_IO_THREADS_H_
