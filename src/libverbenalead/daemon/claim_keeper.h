#ifndef VERBENALEAD_DAEMON_CLAIM_KEEPER_H_
#define VERBENALEAD_DAEMON_CLAIM_KEEPER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backends/table.h"
#include "daemon/claim_result.h"
#include "decide/claim_batch.h"
#include "model/call.h"

namespace verbenalead::daemon {

/// Claims of non-idempotent calls in the platform's table, under (organisation,
/// idempotency key), before they run. Carries out what decide::ClaimBatch says.
/// May be used from several threads.
class ClaimKeeper {
 public:
  explicit ClaimKeeper(backends::Table& table);
  ~ClaimKeeper();

  /// How many entries share the table's writes.
  void SetEntries(size_t entries);

  Awaitable<ClaimResult> Claim(model::Call call);
  /// Records how the call claimed by `writer` ended. False: not known to be
  /// recorded within kEndPatience; it is tried on in the background.
  Awaitable<bool> Record(model::Call call,
                         uint64_t writer,
                         RecordedAnswer answer);
  /// Gives the claim back: the call was certainly not run. As for Record().
  Awaitable<bool> Release(model::Call call, uint64_t writer);

 private:
  struct Waiter;

  /// Submits `work` and waits for its end, `patience` at most.
  Awaitable<decide::ClaimAction> Await(decide::ClaimWork operation,
                                       Duration wait_limit);
  /// Carries out `actions`; m_mutex must be free.
  void Perform(const boost::asio::any_io_executor& executor,
               std::vector<decide::ClaimAction> actions);
  /// Hands the end of a work to whoever waits for it.
  void Deliver(decide::ClaimAction action);
  void WakeAt(const boost::asio::any_io_executor& executor, TimePoint at);
  Awaitable<void> Transact(decide::ClaimAction action);
  Awaitable<void> Read(decide::ClaimAction action);
  Awaitable<void> Wake(TimePoint at);

  backends::Table& m_table;
  std::mutex m_mutex;
  decide::ClaimBatchState m_batch;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
  /// The earliest Wake() under way; max: none.
  TimePoint m_wake_at = TimePoint::max();
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CLAIM_KEEPER_H_
