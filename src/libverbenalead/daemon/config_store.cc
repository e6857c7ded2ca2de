#include "daemon/config_store.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "decide/config/config_references.h"

namespace verbenalead::daemon {
namespace {

using backends::TableItem;
using backends::TableWrite;

constexpr char kHeadPartition[] = "config";
constexpr char kHeadSort[] = "head";
constexpr char kSnapshotSort[] = "snapshot";
constexpr char kChangePartition[] = "change";
constexpr char kOperationPartition[] = "operation";
/// Number of recent changes kept for peers that are behind. A peer that is
/// further behind receives the whole state.
constexpr size_t kMaxRecentChanges = 4096;
constexpr uint32_t kPageSize = 500;
/// Maximum number of attempts of one commit. An attempt fails whenever another
/// write is committed first; with eight operators writing at the same time a
/// handful of attempts is normal.
constexpr int kMaxAttempts = 64;
/// How long Commit() tries to find out whether a write in doubt took effect.
/// Less than the 10 s time-out of an operator's client, so that the operator
/// receives the result "unknown" as an answer.
constexpr Duration kInDoubtTimeout = 6s;
/// Pause after a failed attempt, to avoid adding load to an overloaded table.
constexpr Duration kRetryInterval = 100ms;

/// Sort key of `revision`: zero-padded, so that the order of the keys as text
/// is the order of the revisions.
std::string SortOf(uint64_t revision) {
  return fmt::format("{:020}", revision);
}

std::vector<TableWrite> WritesFor(const model::Change& change) {
  using Condition = TableWrite::Condition;
  const uint64_t revision = change.m_revision;
  const std::string text = model::ToJson(change);
  TableWrite head{{kHeadPartition, kHeadSort, revision, "{}"},
                  revision == 1 ? Condition::kAbsent : Condition::kRevisionIs,
                  revision - 1};
  TableWrite entry{{kChangePartition, SortOf(revision), revision, text},
                   Condition::kAbsent};
  TableWrite operation{
      {kOperationPartition, change.m_operation, revision, text},
      Condition::kAbsent};
  return {head, entry, operation};
}

model::Change ChangeFor(const model::ResourceWrite& write, uint64_t revision) {
  return {revision,     write.m_key,       write.m_deleted,
          write.m_spec, write.m_operation, write.m_operator};
}

/// Returns the change `known`, which was committed earlier under the operation
/// id of `write`, if it is the same write; fails if it is a different one.
AsyncResult<model::Change> ResultOfDuplicate(
    const model::Change& known,
    const model::ResourceWrite& write) {
  if (known.m_key == write.m_key && known.m_deleted == write.m_deleted &&
      known.m_spec == write.m_spec)
    return known;
  return Failure{
      FailureCode::kInvalid, "write " + ToString(write.m_key), "",
      fmt::format("operation {} has named another write: {} at revision {}",
                  write.m_operation, ToString(known.m_key), known.m_revision)};
}

/// Failure of a write that was not answered and whose effect could not be
/// determined by reading the table.
Failure UnknownOutcome(const model::ResourceWrite& write,
                       const Failure& cause) {
  return {FailureCode::kTimeout, "write " + ToString(write.m_key), cause.m_peer,
          "the write's outcome is unknown (" + ToString(cause) +
              "); ask again with operation " + write.m_operation};
}

/// Whether a transaction that ended with `failure` may have taken effect.
bool MayHaveTakenEffect(const Failure& failure) {
  return failure.m_code != FailureCode::kUnreachable &&
         failure.m_code != FailureCode::kRefused;
}

}  // namespace

/// A coroutine that waits, on its own thread, for a newer revision.
struct ConfigStore::Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor,
                  TimePoint deadline)
      : m_event(executor, deadline) {}

  boost::asio::steady_timer m_event;
  bool m_woken = false;
};

ConfigStore::ConfigStore(backends::Table* table)
    : ConfigStore(table, [](Duration pause) { return Sleep(pause); }) {}

ConfigStore::ConfigStore(backends::Table* table, Pause pause)
    : m_table(table),
      m_pause(std::move(pause)),
      m_state(std::make_shared<decide::ConfigState>()) {}

ConfigStore::~ConfigStore() = default;

ConfigStore::State ConfigStore::current() const {
  std::lock_guard lock(m_mutex);
  return m_state;
}

void ConfigStore::ApplyChanges(const std::vector<model::Change>& changes) {
  std::lock_guard lock(m_mutex);
  std::shared_ptr<decide::ConfigState> next;
  for (const model::Change& change : changes) {
    if (change.m_revision <= m_state->m_revision)
      continue;
    if (!next)
      next = std::make_shared<decide::ConfigState>(*m_state);
    if (decide::Apply(*next, change) != decide::ApplyResult::kApplied)
      continue;
    LogLine("config_in_force")
        .With("revision", change.m_revision)
        .With("resource", ToString(change.m_key))
        .With("deleted", change.m_deleted)
        .With("operation", change.m_operation)
        .Info();
    m_recent_changes.push_back(change);
    if (m_recent_changes.size() > kMaxRecentChanges)
      m_recent_changes.pop_front();
  }
  if (!next)
    return;
  m_state = std::move(next);
  WakeAll();
}

void ConfigStore::ApplyState(decide::ConfigState state) {
  std::lock_guard lock(m_mutex);
  if (state.m_revision <= m_state->m_revision)
    return;
  LogLine("config_in_force")
      .With("revision", state.m_revision)
      .With("resource", "all")
      .Info();
  m_state = std::make_shared<decide::ConfigState>(std::move(state));
  m_recent_changes.clear();
  WakeAll();
}

void ConfigStore::WakeAll() {
  for (const std::shared_ptr<Waiter>& waiter : m_waiters) {
    boost::asio::post(waiter->m_event.get_executor(), [waiter] {
      waiter->m_woken = true;
      waiter->m_event.cancel();
    });
  }
  m_waiters.clear();
}

Awaitable<void> ConfigStore::WaitForRevisionAfter(uint64_t revision,
                                                  TimePoint deadline) {
  const auto executor = co_await boost::asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor, deadline);
  {
    std::lock_guard lock(m_mutex);
    if (m_state->m_revision > revision)
      co_return;
    m_waiters.push_back(waiter);
  }
  while (!waiter->m_woken && Now() < deadline) {
    boost::system::error_code ignored;
    co_await waiter->m_event.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  std::lock_guard lock(m_mutex);
  std::erase(m_waiters, waiter);
}

void ConfigStore::RecordObservedRevision(uint64_t revision) {
  std::lock_guard lock(m_mutex);
  m_observed_revision = std::max(m_observed_revision, revision);
}

TimePoint ConfigStore::last_read_at() const {
  std::lock_guard lock(m_mutex);
  return m_last_read_at;
}

uint64_t ConfigStore::observed_revision() const {
  std::lock_guard lock(m_mutex);
  return m_observed_revision;
}

std::optional<std::vector<model::Change>> ConfigStore::ChangesAfter(
    uint64_t revision) const {
  std::lock_guard lock(m_mutex);
  std::vector<model::Change> changes;
  if (revision >= m_state->m_revision)
    return changes;
  if (m_recent_changes.empty() ||
      m_recent_changes.front().m_revision > revision + 1)
    return std::nullopt;
  for (const model::Change& change : m_recent_changes) {
    if (change.m_revision > revision)
      changes.push_back(change);
  }
  return changes;
}

Awaitable<AsyncResult<bool>> ConfigStore::ReadSnapshot() {
  auto item = co_await m_table->Get(kHeadPartition, kSnapshotSort);
  if (!item)
    co_return item.error();
  if (!item->has_value())
    co_return false;
  auto state =
      CatchFailure([&] { return decide::ParseConfigState((*item)->m_value); });
  // An invalid snapshot is ignored: the table still contains all changes.
  if (!state) {
    LogLine("config_snapshot_bad").With(state.error()).Warn();
    co_return false;
  }
  {
    std::lock_guard lock(m_mutex);
    m_snapshot_revision = std::max(m_snapshot_revision, state->m_revision);
  }
  ApplyState(std::move(*state));
  co_return true;
}

Awaitable<AsyncResult<bool>> ConfigStore::WriteSnapshot() {
  const State state = current();
  {
    std::lock_guard lock(m_mutex);
    if (state->m_revision < m_snapshot_revision + kSnapshotInterval)
      co_return false;
  }
  const TableItem item{kHeadPartition, kSnapshotSort, state->m_revision,
                       decide::ToJson(*state)};
  const std::vector<TableWrite> writes{TableWrite{item}};
  auto done = co_await m_table->Transact(writes);
  if (!done)
    co_return done.error();
  std::lock_guard lock(m_mutex);
  m_snapshot_revision = std::max(m_snapshot_revision, state->m_revision);
  co_return true;
}

Awaitable<AsyncResult<bool>> ConfigStore::CatchUp() {
  // The changes of a year are 400,000 items, too many to read at start. A
  // starting process reads the snapshot and the few changes after it.
  if (current()->m_revision == 0) {
    auto read = co_await ReadSnapshot();
    if (!read)
      co_return read.error();
  }
  while (true) {
    const uint64_t revision = current()->m_revision;
    auto items =
        co_await m_table->Query(kChangePartition, SortOf(revision), kPageSize);
    if (!items)
      co_return items.error();
    std::vector<model::Change> changes;
    for (const TableItem& item : *items) {
      auto change =
          CatchFailure([&] { return model::ParseChange(item.m_value); });
      if (!change)
        co_return change.error();
      changes.push_back(std::move(*change));
    }
    ApplyChanges(changes);
    if (items->size() < kPageSize) {
      std::lock_guard lock(m_mutex);
      m_last_read_at = Now();
      co_return true;
    }
  }
}

Awaitable<AsyncResult<std::optional<model::Change>>> ConfigStore::FindOperation(
    std::string operation) {
  auto item = co_await m_table->Get(kOperationPartition, std::move(operation));
  if (!item)
    co_return item.error();
  if (!item->has_value())
    co_return std::optional<model::Change>();
  auto change =
      CatchFailure([&] { return model::ParseChange((*item)->m_value); });
  if (!change)
    co_return change.error();
  co_return std::optional<model::Change>(std::move(*change));
}

std::string ConfigStore::DescribeWinner(const decide::ConfigState& state,
                                        const model::ResourceKey& key) const {
  auto found = state.m_resources.find(key);
  if (found != state.m_resources.end()) {
    const decide::ActiveResource& winner = found->second;
    return fmt::format("revision {} by operation {} of operator {}",
                       winner.m_revision, winner.m_operation,
                       winner.m_operator);
  }
  std::lock_guard lock(m_mutex);
  for (auto change = m_recent_changes.rbegin();
       change != m_recent_changes.rend(); ++change) {
    if (change->m_key == key)
      return fmt::format(
          "deleted at revision {} by operation {} of operator {}",
          change->m_revision, change->m_operation, change->m_operator);
  }
  return "no such resource";
}

AsyncResult<bool> ConfigStore::CheckExpected(
    const decide::ConfigState& state,
    const model::ResourceWrite& write) const {
  auto found = state.m_resources.find(write.m_key);
  const uint64_t revision =
      found == state.m_resources.end() ? 0 : found->second.m_revision;
  if (write.m_expected_revision && *write.m_expected_revision != revision) {
    return Failure{FailureCode::kConflict, "write " + ToString(write.m_key), "",
                   fmt::format("expected revision {}, found {}",
                               *write.m_expected_revision,
                               DescribeWinner(state, write.m_key))};
  }
  if (write.m_deleted && revision == 0) {
    return Failure{FailureCode::kNotFound, "delete " + ToString(write.m_key),
                   "", "no such resource"};
  }
  auto checked =
      CatchFailure([&] { return decide::CheckReferences(state, write); });
  if (!checked)
    return checked.error();
  return true;
}

Awaitable<AsyncResult<model::Change>> ConfigStore::Commit(
    model::ResourceWrite write) {
  // Revision and failure of an attempt that may still take effect.
  std::optional<std::pair<uint64_t, Failure>> in_doubt;
  const TimePoint deadline = Now() + kInDoubtTimeout;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto caught_up = co_await CatchUp();
    const State state = current();
    // The operation must be read after `state`. In the opposite order an
    // earlier attempt of this commit whose answer was lost could take effect
    // between the two: CheckExpected() would then report this commit's own
    // write to the operator as a conflict with another write.
    auto known = co_await FindOperation(write.m_operation);
    if (!caught_up || !known) {
      const Failure& failure = caught_up ? known.error() : caught_up.error();
      if (!in_doubt)
        co_return failure;
      if (Now() >= deadline)
        co_return UnknownOutcome(write, in_doubt->second);
      co_await m_pause(kRetryInterval);
      continue;
    }
    if (known->has_value())
      co_return ResultOfDuplicate(**known, write);
    // The log has reached the revision of the attempt in doubt, and the
    // operation is not in the table, so that attempt can't take effect any
    // more.
    if (in_doubt && state->m_revision >= in_doubt->first)
      in_doubt.reset();
    auto expected = CheckExpected(*state, write);
    if (!expected)
      co_return expected.error();
    const model::Change change = ChangeFor(write, state->m_revision + 1);
    // The condition on the head item allows at most one writer per revision,
    // and the condition on the operation at most one revision per operation. So
    // another attempt can't commit the write twice while the first is in doubt.
    auto done = co_await m_table->Transact(WritesFor(change));
    if (done && *done == backends::TransactResult::kCommitted) {
      ApplyChanges({change});
      co_return change;
    }
    if (done)
      continue;
    if (MayHaveTakenEffect(done.error()))
      in_doubt = {change.m_revision, done.error()};
    else if (!in_doubt)
      co_return done.error();
    if (Now() >= deadline)
      co_return UnknownOutcome(write, in_doubt->second);
    co_await m_pause(kRetryInterval);
  }
  if (in_doubt)
    co_return UnknownOutcome(write, in_doubt->second);
  co_return Failure{FailureCode::kRefused, "write " + ToString(write.m_key), "",
                    "too many writers at once; nothing was written"};
}

}  // namespace verbenalead::daemon
