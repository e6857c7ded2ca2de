#include "daemon/config_keeper.h"

#include <spdlog/fmt/fmt.h>

#include "base/catch_failure.h"
#include "base/log.h"

namespace verbenalead::daemon {
namespace {

using platform::TableItem;
using platform::TableWrite;

constexpr char kHeadPartition[] = "config";
constexpr char kHeadSort[] = "head";
constexpr char kChangePartition[] = "change";
constexpr char kOperationPartition[] = "operation";
/// Changes kept for peers that are behind; further back they get the state.
constexpr size_t kMaxRecent = 4096;
constexpr uint32_t kPage = 500;
/// Tries of one commit. Each lost race means that somebody else's write went
/// through, so with eight operators racing a handful of tries is the rule.
constexpr int kMaxTries = 64;

/// Sorts as text in the order of the numbers.
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

/// Fails with kConflict if `write` expects another revision than is in force.
AsyncResult<bool> CheckExpected(const decide::ConfigState& state,
                                const model::ResourceWrite& write) {
  auto found = state.m_resources.find(write.m_key);
  const uint64_t revision =
      found == state.m_resources.end() ? 0 : found->second.m_revision;
  if (!write.m_expected_revision || *write.m_expected_revision == revision)
    return true;
  return Failure{FailureCode::kConflict, "write " + ToString(write.m_key), "",
                 fmt::format("expected revision {}, found {}",
                             *write.m_expected_revision, revision)};
}

model::Change ChangeFor(const model::ResourceWrite& write, uint64_t revision) {
  return {revision,     write.m_key,       write.m_deleted,
          write.m_spec, write.m_operation, write.m_operator};
}

}  // namespace

ConfigKeeper::ConfigKeeper(platform::Table* table)
    : m_table(table), m_state(std::make_shared<decide::ConfigState>()) {}

ConfigKeeper::State ConfigKeeper::current() const {
  std::lock_guard lock(m_mutex);
  return m_state;
}

void ConfigKeeper::Offer(const std::vector<model::Change>& changes) {
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
    m_recent.push_back(change);
    if (m_recent.size() > kMaxRecent)
      m_recent.pop_front();
  }
  if (next)
    m_state = std::move(next);
}

void ConfigKeeper::OfferState(decide::ConfigState state) {
  std::lock_guard lock(m_mutex);
  if (state.m_revision <= m_state->m_revision)
    return;
  LogLine("config_in_force")
      .With("revision", state.m_revision)
      .With("resource", "all")
      .Info();
  m_state = std::make_shared<decide::ConfigState>(std::move(state));
  m_recent.clear();
}

std::optional<std::vector<model::Change>> ConfigKeeper::ChangesAfter(
    uint64_t revision) const {
  std::lock_guard lock(m_mutex);
  std::vector<model::Change> changes;
  if (revision >= m_state->m_revision)
    return changes;
  if (m_recent.empty() || m_recent.front().m_revision > revision + 1)
    return std::nullopt;
  for (const model::Change& change : m_recent) {
    if (change.m_revision > revision)
      changes.push_back(change);
  }
  return changes;
}

Awaitable<AsyncResult<bool>> ConfigKeeper::CatchUp() {
  while (true) {
    const uint64_t revision = current()->m_revision;
    auto items =
        co_await m_table->Query(kChangePartition, SortOf(revision), kPage);
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
    Offer(changes);
    if (items->size() < kPage)
      co_return true;
  }
}

Awaitable<AsyncResult<std::optional<model::Change>>>
ConfigKeeper::FindOperation(std::string operation) {
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

Awaitable<AsyncResult<model::Change>> ConfigKeeper::Commit(
    model::ResourceWrite write) {
  std::optional<Failure> doubt;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    auto known = co_await FindOperation(write.m_operation);
    auto caught_up = co_await CatchUp();
    if (!known || !caught_up) {
      const Failure& failure = known ? caught_up.error() : known.error();
      // Once a write is in doubt, only a read can settle it.
      if (doubt)
        co_return Failure{FailureCode::kTimeout, failure.m_step, failure.m_peer,
                          "the write's outcome is unknown"};
      co_return failure;
    }
    if (known->has_value())
      co_return **known;
    const State state = current();
    auto expected = CheckExpected(*state, write);
    if (!expected)
      co_return expected.error();
    const model::Change change = ChangeFor(write, state->m_revision + 1);
    // The head's condition lets at most one writer take each revision, and the
    // operation's lets each operation take at most one: a try whose answer was
    // lost is found by FindOperation, or can no longer take effect once the
    // head has moved.
    auto done = co_await m_table->Transact(WritesFor(change));
    if (!done) {
      doubt = done.error();
    } else if (*done == platform::TransactResult::kCommitted) {
      Offer({change});
      co_return change;
    }
  }
  co_return Failure{FailureCode::kTimeout, "write " + ToString(write.m_key), "",
                    "too many writers; ask again"};
}

}  // namespace verbenalead::daemon
