#include "daemon/load_permit_table.h"

#include "base/catch_failure.h"

namespace verbenalead::daemon {
namespace {

constexpr char kPartition[] = "permits";

}  // namespace

Awaitable<AsyncResult<decide::LoadPermits>> LoadPermitTable::Read() {
  auto item = co_await m_table.Get(kPartition, m_pool);
  if (!item)
    co_return item.error();
  if (!item->has_value())
    co_return decide::LoadPermits();
  co_return CatchFailure([&] {
    return decide::ParseLoadPermits((*item)->m_value, (*item)->m_revision);
  });
}

Awaitable<decide::WriteResult> LoadPermitTable::Write(
    decide::LoadPermits permits) {
  using Condition = backends::TableWrite::Condition;
  const uint64_t previous = permits.m_revision - 1;
  backends::TableWrite write;
  write.m_item = {kPartition, m_pool, permits.m_revision, ToJson(permits)};
  write.m_condition = previous ? Condition::kRevisionIs : Condition::kAbsent;
  write.m_expected_revision = previous;
  std::vector<backends::TableWrite> writes;
  writes.push_back(std::move(write));
  auto done = co_await m_table.Transact(std::move(writes));
  if (!done)
    co_return decide::WriteResult::kDoubt;
  co_return *done == backends::TransactResult::kCommitted
      ? decide::WriteResult::kCommitted
      : decide::WriteResult::kConflict;
}

}  // namespace verbenalead::daemon
