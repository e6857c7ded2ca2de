#ifndef VERBENALEAD_DAEMON_CLAIM_STORE_H_
#define VERBENALEAD_DAEMON_CLAIM_STORE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backends/table.h"
#include "daemon/claim_result.h"
#include "decide/claims/claim_batch.h"
#include "model/call.h"

namespace verbenalead::daemon {

/// Claims non-idempotent calls in the platform's table, under (organisation,
/// idempotency key), before they run, so that a call which is sent twice with
/// the same key runs at most once. Executes the actions that
/// decide::ClaimBatchState yields: group commits, reads and timers. May be used
/// from several threads.
class ClaimStore {
 public:
  explicit ClaimStore(backends::Table& table);
  ~ClaimStore();

  /// Sets the number of entries that share the table's write capacity; it
  /// determines how often this entry may write a group of claims.
  void SetEntryCount(size_t entries);

  Awaitable<ClaimResult> Claim(model::Call call);
  /// Records the outcome of the call that `writer` claimed. Returns false if
  /// the table has not confirmed the record within kEndWaitLimit; the write is
  /// then retried in the background.
  Awaitable<bool> Record(model::Call call,
                         uint64_t writer,
                         RecordedAnswer answer);
  /// Releases the claim of a call that certainly did not run, so that a call
  /// with the same key may run. Returns as Record() does.
  Awaitable<bool> Release(model::Call call, uint64_t writer);

 private:
  struct Waiter;

  /// Submits `operation` and waits for its result for up to `wait_limit`;
  /// after that the result is kUnavailable.
  Awaitable<decide::ClaimAction> Await(decide::ClaimOperation operation,
                                       Duration wait_limit);
  /// Executes `actions`. The caller must not hold m_mutex.
  void Perform(const boost::asio::any_io_executor& executor,
               std::vector<decide::ClaimAction> actions);
  /// Passes the result of an operation to the coroutine that waits for it.
  void Deliver(decide::ClaimAction action);
  void ScheduleTickAt(const boost::asio::any_io_executor& executor,
                      TimePoint at);
  Awaitable<void> Transact(decide::ClaimAction action);
  Awaitable<void> Read(decide::ClaimAction action);
  Awaitable<void> Wake(TimePoint at);

  backends::Table& m_table;
  std::mutex m_mutex;
  decide::ClaimBatchState m_batch;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
  /// Time of the earliest scheduled Wake(); TimePoint::max() if there is none.
  TimePoint m_tick_at = TimePoint::max();
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CLAIM_STORE_H_
