#include "links/table_follower.h"

#include "base/log.h"
#include "base/sleep.h"

namespace verbenalead::links {
namespace {

/// Pauses after a question that failed, drawn between these two. A store that
/// comes back is found within the lower half of the second in which changes
/// must be in force; all processes together then ask 30 times a second, of
/// 2,000 that the store answers.
constexpr Duration kLeastPause = 150ms;
constexpr Duration kMostPause = 350ms;

}  // namespace

TableFollower::TableFollower(platform::Store& store,
                             TableFollowerOptions options,
                             OnRows on_rows)
    : m_store(store),
      m_options(std::move(options)),
      m_on_rows(std::move(on_rows)),
      m_random(std::random_device{}()) {}

Awaitable<void> TableFollower::Run() {
  while (true) {
    const TimePoint asked = Now();
    const bool answered = co_await Ask();
    const Duration pause =
        answered ? asked + m_options.m_interval - Now() : RetryPause();
    if (pause > Duration())
      co_await Sleep(pause);
  }
}

Awaitable<bool> TableFollower::Ask() {
  const bool whole = m_revision == 0;
  AsyncResult<platform::Rows> rows = Failure();
  if (whole)
    rows = co_await m_store.ReadTable(m_options.m_table);
  else
    rows = co_await m_store.ReadChanges(m_options.m_table, m_revision,
                                        m_options.m_wait);
  if (!rows) {
    if (rows.error().m_code == FailureCode::kNotFound && !whole) {
      LogLine("history_gone").With("table", m_options.m_table).Warn();
      m_revision = 0;
      co_return false;
    }
    NoteFailure(rows.error());
    co_return false;
  }
  NoteSuccess();
  m_revision = std::max(m_revision, rows->m_revision);
  m_on_rows(*rows, whole);
  co_return true;
}

void TableFollower::NoteSuccess() {
  if (m_connected)
    return;
  m_connected = true;
  if (m_ever_connected)
    m_regained_at = Now();
  m_ever_connected = true;
  LogLine("store_connected")
      .With("peer", ToString(m_store.endpoint()))
      .With("table", m_options.m_table)
      .Info();
}

void TableFollower::NoteFailure(const Failure& failure) {
  if (!m_connected)
    return;
  m_connected = false;
  LogLine("store_lost").With("table", m_options.m_table).With(failure).Warn();
}

Duration TableFollower::RetryPause() {
  return Duration(std::uniform_int_distribution<int64_t>(
      kLeastPause.count(), kMostPause.count())(m_random));
}

}  // namespace verbenalead::links
