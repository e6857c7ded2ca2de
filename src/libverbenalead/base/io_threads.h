#ifndef VERBENALEAD_BASE_IO_THREADS_H_
#define VERBENALEAD_BASE_IO_THREADS_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace verbenalead {

/// The threads of a process. Each has an io_context of its own, so whatever
/// belongs to one connection is touched by one thread only and needs no lock;
/// what threads share (decision state) stands in shards, each under its lock.
class IoThreads {
 public:
  /// `count` threads, at least one.
  explicit IoThreads(int count);
  ~IoThreads();

  /// The executor of the first thread, which also runs the process's timers.
  boost::asio::any_io_executor main();
  /// The executor of the next thread, in turn. From any thread.
  boost::asio::any_io_executor Next();
  int count() const;

  /// Runs all threads, the first one on this thread, until Stop().
  void Run();
  /// From any thread.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_IO_THREADS_H_
