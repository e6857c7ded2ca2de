#include "daemon/fencing_token_minter.h"

#include "base/new_id.h"

namespace verbenalead::daemon {
namespace {

constexpr char kPartition[] = "fence";

}  // namespace

FencingTokenMinter::FencingTokenMinter(std::string host,
                                       uint64_t owner,
                                       backends::Table& table)
    : m_host(std::move(host)),
      // The id distinguishes processes that started in the same millisecond.
      m_owner("{\"owner\":\"" + std::to_string(owner) + "-" + NewId() + "\"}"),
      m_table(table) {}

Awaitable<AsyncResult<uint64_t>> FencingTokenMinter::IssueToken() {
  using Condition = backends::TableWrite::Condition;
  auto item = co_await m_table.Get(kPartition, m_host);
  if (!item)
    co_return item.error();
  const bool exists = item->has_value();
  const uint64_t last = exists ? (*item)->m_revision : 0;
  const bool is_owner = exists && (*item)->m_value == m_owner;
  if (m_minted && !is_owner) {
    co_return Failure{FailureCode::kConflict, "mint fence", m_host,
                      "a newer process minted " + std::to_string(last)};
  }
  backends::TableWrite write;
  write.m_item = {kPartition, m_host, last + 1, m_owner};
  write.m_condition = exists ? Condition::kRevisionIs : Condition::kAbsent;
  write.m_expected_revision = last;
  std::vector<backends::TableWrite> writes;
  writes.push_back(std::move(write));
  auto done = co_await m_table.Transact(std::move(writes));
  // If the answer was lost, one token is skipped: the next call finds this
  // process as the owner of the item and issues the token after it.
  if (!done)
    co_return done.error();
  if (*done != backends::TransactResult::kCommitted) {
    co_return Failure{FailureCode::kTimeout, "mint fence", m_host,
                      "lost a race; trying again"};
  }
  m_minted = true;
  co_return last + 1;
}

}  // namespace verbenalead::daemon
