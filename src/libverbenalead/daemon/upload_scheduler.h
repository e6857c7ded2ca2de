#ifndef VERBENALEAD_DAEMON_UPLOAD_SCHEDULER_H_
#define VERBENALEAD_DAEMON_UPLOAD_SCHEDULER_H_

#include <map>
#include <memory>
#include <mutex>

#include "base/digest.h"
#include "base/pacer.h"
#include "decide/upload_queue.h"

namespace verbenalead::daemon {

/// Lets requests for chunks onto this host's link in the order that the upload
/// queue decides. May be used from several threads.
class UploadScheduler {
 public:
  explicit UploadScheduler(Pacer& link) : m_link(link) {}

  /// Waits until `bytes` of a chunk may be sent.
  Awaitable<void> Take(Digest whole,
                       decide::UploadRequest request,
                       uint64_t bytes);

 private:
  struct Waiter;

  void Enqueue(const Digest& whole, std::shared_ptr<Waiter> waiter);
  void Release();
  /// Lets the next ones in. Called under the lock.
  void Grant();

  Pacer& m_link;
  std::mutex m_mutex;
  uint32_t m_busy = 0;
  uint64_t m_next_id = 0;
  std::map<Digest, decide::UploadQueue> m_queues;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_UPLOAD_SCHEDULER_H_
