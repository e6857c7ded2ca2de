#include "daemon/claim_keeper.h"

#include "base/catch_failure.h"
#include "base/sleep.h"

namespace verbenalead::daemon {
namespace {

using platform::TableItem;
using platform::TableWrite;

constexpr char kPartition[] = "claim";
// The revision of a claim's item is its stage.
constexpr uint64_t kClaimed = 1;
constexpr uint64_t kAnswered = 2;
constexpr uint64_t kReleased = 3;
constexpr int kMaxTries = 3;
constexpr Duration kBetweenTries = 50ms;

std::string SortOf(const model::Call& call) {
  return call.organisation() + "/" + call.idempotency_key();
}

/// What an item that is already there says to `call`.
ClaimResult Read(const TableItem& item, const model::Call& call) {
  if (item.m_revision == kClaimed) {
    const bool ours = item.m_value == call.id();
    return {ours ? ClaimResult::Kind::kOurs : ClaimResult::Kind::kHeld,
            {},
            "a call with this key is under way"};
  }
  auto answer = CatchFailure([&] { return ParseRecordedAnswer(item.m_value); });
  if (!answer)
    return {ClaimResult::Kind::kHeld, {}, "the record can't be read"};
  return {ClaimResult::Kind::kAnswered, std::move(*answer), ""};
}

TableWrite ClaimWrite(const model::Call& call, bool after_release) {
  TableWrite write{{kPartition, SortOf(call), kClaimed, call.id()},
                   TableWrite::Condition::kAbsent};
  if (after_release) {
    write.m_condition = TableWrite::Condition::kRevisionIs;
    write.m_expected_revision = kReleased;
  }
  return write;
}

}  // namespace

Awaitable<ClaimResult> ClaimKeeper::Claim(model::Call call) {
  std::string reason = "the table did not answer";
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (tries > 0)
      co_await Sleep(kBetweenTries);
    auto item = co_await m_table.Get(kPartition, SortOf(call));
    if (!item) {
      reason = ToString(item.error());
      continue;
    }
    const bool released = item->has_value() && (*item)->m_revision == kReleased;
    if (item->has_value() && !released)
      co_return Read(**item, call);
    std::vector<TableWrite> writes;
    writes.push_back(ClaimWrite(call, released));
    auto done = co_await m_table.Transact(std::move(writes));
    if (done && *done == platform::TransactResult::kCommitted)
      co_return ClaimResult{ClaimResult::Kind::kOurs, {}, ""};
    // Lost the race, or the answer was lost: the next read tells whose it is.
    if (!done)
      reason = ToString(done.error());
  }
  co_return ClaimResult{ClaimResult::Kind::kUnavailable, {}, reason};
}

Awaitable<AsyncResult<bool>> ClaimKeeper::Record(model::Call call,
                                                 RecordedAnswer answer) {
  std::vector<TableWrite> writes;
  writes.push_back({{kPartition, SortOf(call), kAnswered, ToJson(answer)},
                    TableWrite::Condition::kRevisionIs,
                    kClaimed});
  auto done = co_await m_table.Transact(std::move(writes));
  if (!done)
    co_return done.error();
  co_return *done == platform::TransactResult::kCommitted;
}

Awaitable<AsyncResult<bool>> ClaimKeeper::Release(model::Call call) {
  std::vector<TableWrite> writes;
  writes.push_back({{kPartition, SortOf(call), kReleased, call.id()},
                    TableWrite::Condition::kRevisionIs,
                    kClaimed});
  auto done = co_await m_table.Transact(std::move(writes));
  if (!done)
    co_return done.error();
  co_return *done == platform::TransactResult::kCommitted;
}

}  // namespace verbenalead::daemon
