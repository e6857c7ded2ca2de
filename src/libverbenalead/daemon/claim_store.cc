#include "daemon/claim_store.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/new_id.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/membership/rendezvous.h"

namespace verbenalead::daemon {

namespace asio = boost::asio;

using decide::ClaimAction;
using decide::ClaimEnd;
using decide::ClaimOperation;

namespace {

constexpr char kPartition[] = "claim";
/// Longest wait of a claim for the table. After it the call is refused as not
/// run, and its caller can retry at once; a longer wait would use up the time
/// of an urgent call.
constexpr Duration kClaimTimeout = 3s;
/// How long an answer is delayed until its outcome is recorded. A healthy table
/// takes a tenth of this time. When the time is over, the caller receives the
/// answer although the record is not confirmed. Until the outcome is recorded,
/// another call with the same key gets the result kHeld: the key is in use.
constexpr Duration kEndWaitLimit = 250ms;
constexpr Duration kEndTimeout = std::chrono::seconds(60);
/// Claims need no wait limit: the batch ends each claim by its deadline and
/// makes sure that a late write of the claim has no effect.
constexpr Duration kNoLimit = std::chrono::hours(1);
constexpr size_t kInitialEntries = 8;

std::string KeyOf(const model::Call& call) {
  return call.organisation() + "/" + call.idempotency_key();
}

uint64_t NewWriter() {
  return (decide::MixHash(NewId(), 0) >> 2) | 1;
}

decide::GroupResult Judge(const AsyncResult<backends::TransactResult>& done) {
  using decide::GroupResult;
  if (done) {
    return *done == backends::TransactResult::kCommitted
               ? GroupResult::kCommitted
               : GroupResult::kConflict;
  }
  const FailureCode code = done.error().m_code;
  const bool nothing_done =
      code == FailureCode::kUnreachable || code == FailureCode::kRefused;
  return nothing_done ? GroupResult::kNotSent : GroupResult::kLost;
}

std::vector<backends::TableWrite> WritesOf(
    const std::vector<decide::ClaimPut>& puts) {
  using Condition = backends::TableWrite::Condition;
  std::vector<backends::TableWrite> writes;
  for (const decide::ClaimPut& put : puts) {
    backends::TableWrite write;
    write.m_item = {kPartition, put.m_key, put.m_item.m_revision,
                    put.m_item.m_value};
    write.m_condition =
        put.m_expected == 0 ? Condition::kAbsent : Condition::kRevisionIs;
    write.m_expected_revision = put.m_expected;
    writes.push_back(std::move(write));
  }
  return writes;
}

ClaimResult ResultOf(const ClaimAction& end, uint64_t writer) {
  ClaimResult result;
  switch (end.m_end) {
    case ClaimEnd::kDone:
      result.m_kind = ClaimResult::Kind::kClaimed;
      result.m_writer = writer;
      return result;
    case ClaimEnd::kHeld:
      result.m_kind = ClaimResult::Kind::kHeld;
      result.m_reason = "request " + end.m_value + " holds this key";
      return result;
    case ClaimEnd::kUnavailable:
      result.m_reason = "the table did not answer";
      return result;
    case ClaimEnd::kAnswered:
      break;
  }
  auto answer = CatchFailure([&] { return ParseRecordedAnswer(end.m_value); });
  result.m_kind =
      answer ? ClaimResult::Kind::kAnswered : ClaimResult::Kind::kHeld;
  if (answer)
    result.m_answer = std::move(*answer);
  else
    result.m_reason = "the record can't be read";
  return result;
}

}  // namespace

/// A coroutine that waits, on its own thread, for the result of an operation.
struct ClaimStore::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : m_event(executor) {}

  asio::steady_timer m_event;
  std::optional<ClaimAction> m_end;
};

ClaimStore::ClaimStore(backends::Table& table) : m_table(table) {
  SetEntryCount(kInitialEntries);
}

ClaimStore::~ClaimStore() = default;

void ClaimStore::SetEntryCount(size_t entries) {
  std::lock_guard lock(m_mutex);
  m_batch.m_interval = decide::GroupInterval(entries);
}

Awaitable<ClaimResult> ClaimStore::Claim(model::Call call) {
  const uint64_t writer = NewWriter();
  const TimePoint deadline = std::min(call.deadline(), Now() + kClaimTimeout);
  const ClaimAction end = co_await Await(
      decide::MakeClaim(KeyOf(call), writer, call.id(), deadline), kNoLimit);
  co_return ResultOf(end, writer);
}

Awaitable<bool> ClaimStore::Record(model::Call call,
                                   uint64_t writer,
                                   RecordedAnswer answer) {
  const ClaimAction end = co_await Await(
      decide::MakeClaimEnd(ClaimOperation::Kind::kRecord, KeyOf(call), writer,
                           ToJson(answer), Now() + kEndTimeout),
      kEndWaitLimit);
  co_return end.m_end == ClaimEnd::kDone;
}

Awaitable<bool> ClaimStore::Release(model::Call call, uint64_t writer) {
  const ClaimAction end = co_await Await(
      decide::MakeClaimEnd(ClaimOperation::Kind::kRelease, KeyOf(call), writer,
                           call.id(), Now() + kEndTimeout),
      kEndWaitLimit);
  co_return end.m_end == ClaimEnd::kDone;
}

Awaitable<ClaimAction> ClaimStore::Await(ClaimOperation operation,
                                         Duration wait_limit) {
  const auto executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor);
  waiter->m_event.expires_after(wait_limit);
  std::vector<ClaimAction> actions;
  uint64_t id = 0;
  {
    std::lock_guard lock(m_mutex);
    id = decide::Submit(m_batch, std::move(operation));
    m_waiters[id] = waiter;
    actions = decide::Tick(m_batch, Now());
  }
  Perform(executor, std::move(actions));
  boost::system::error_code cancelled;
  if (!waiter->m_end) {
    co_await waiter->m_event.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
  if (waiter->m_end)
    co_return *waiter->m_end;
  std::lock_guard lock(m_mutex);
  m_waiters.erase(id);
  ClaimAction timed_out;
  timed_out.m_end = ClaimEnd::kUnavailable;
  co_return timed_out;
}

void ClaimStore::Perform(const asio::any_io_executor& executor,
                         std::vector<ClaimAction> actions) {
  for (ClaimAction& action : actions) {
    switch (action.m_kind) {
      case ClaimAction::Kind::kTransact:
        Spawn(executor, Transact(std::move(action)), "transact");
        break;
      case ClaimAction::Kind::kRead:
        Spawn(executor, Read(std::move(action)), "read");
        break;
      case ClaimAction::Kind::kScheduleTick:
        ScheduleTickAt(executor, action.m_at);
        break;
      case ClaimAction::Kind::kReportResult:
        Deliver(std::move(action));
        break;
    }
  }
}

void ClaimStore::Deliver(ClaimAction action) {
  std::lock_guard lock(m_mutex);
  auto found = m_waiters.extract(action.m_id);
  if (found.empty())
    return;
  const auto waiter = found.mapped();
  asio::post(waiter->m_event.get_executor(), [waiter, action] {
    waiter->m_end = action;
    waiter->m_event.cancel();
  });
}

void ClaimStore::ScheduleTickAt(const asio::any_io_executor& executor,
                                TimePoint at) {
  {
    std::lock_guard lock(m_mutex);
    if (m_tick_at <= at)
      return;
    m_tick_at = at;
  }
  Spawn(executor, Wake(at), "wake");
}

Awaitable<void> ClaimStore::Wake(TimePoint at) {
  co_await Sleep(at - Now());
  std::vector<ClaimAction> actions;
  {
    std::lock_guard lock(m_mutex);
    if (m_tick_at == at)
      m_tick_at = TimePoint::max();
    actions = decide::Tick(m_batch, Now());
  }
  Perform(co_await asio::this_coro::executor, std::move(actions));
}

Awaitable<void> ClaimStore::Transact(ClaimAction action) {
  auto done = co_await m_table.Transact(WritesOf(action.m_puts));
  LogLine line("claim_group");
  line.With("writes", uint64_t{action.m_puts.size()});
  const decide::GroupResult result = Judge(done);
  if (done)
    line.With("committed", result == decide::GroupResult::kCommitted).Debug();
  else
    line.With(done.error()).Warn();
  std::vector<ClaimAction> actions;
  {
    std::lock_guard lock(m_mutex);
    actions = decide::GroupEnded(m_batch, action.m_id, result, Now());
  }
  Perform(co_await asio::this_coro::executor, std::move(actions));
}

Awaitable<void> ClaimStore::Read(ClaimAction action) {
  auto item = co_await m_table.Get(kPartition, action.m_key);
  std::vector<ClaimAction> actions;
  {
    std::lock_guard lock(m_mutex);
    if (item) {
      std::optional<decide::ClaimItem> stored;
      if (item->has_value())
        stored = decide::ClaimItem{(*item)->m_revision, (*item)->m_value};
      actions = decide::ReadEnded(m_batch, action.m_id, stored, Now());
    } else {
      actions = decide::ReadFailed(m_batch, action.m_id, Now());
    }
  }
  Perform(co_await asio::this_coro::executor, std::move(actions));
}

}  // namespace verbenalead::daemon
