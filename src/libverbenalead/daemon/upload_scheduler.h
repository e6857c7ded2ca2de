#ifndef VERBENALEAD_DAEMON_UPLOAD_SCHEDULER_H_
#define VERBENALEAD_DAEMON_UPLOAD_SCHEDULER_H_

#include <map>
#include <memory>
#include <mutex>

#include "base/digest.h"
#include "base/pacer.h"
#include "decide/transfer/upload_queue.h"

namespace verbenalead::daemon {

/// Schedules the sending of chunks on this host's link, in the order that
/// decide::UploadQueue chooses. If requests were served in order of arrival, a
/// burst of requests for one new chunk would delay all other chunks.
/// Thread-safe.
class UploadScheduler {
 public:
  explicit UploadScheduler(Pacer& link) : m_link(link) {}

  /// Waits until it is the request's turn and the link's rate limit permits
  /// `bytes`.
  Awaitable<void> WaitForTurn(Digest digest,
                              decide::UploadRequest request,
                              uint64_t bytes);

 private:
  struct Waiter;

  void Enqueue(const Digest& digest, std::shared_ptr<Waiter> waiter);
  void Release();
  /// Starts the next requests while the link has capacity. Called with m_mutex
  /// held.
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
