#include "links/table_follower.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"

namespace verbenalead::links {
namespace {

/// Bounds of the random pause after a failed request. Changes must be in force
/// within a second; with these pauses, the return of the store is detected
/// within the first half of that second. All processes together then send 30
/// requests a second, of the 2,000 a second that the store can answer.
constexpr Duration kMinRetryPause = 150ms;
constexpr Duration kMaxRetryPause = 350ms;
/// How often PollSchedule::m_paused is checked again while it is set.
constexpr Duration kHoldPollInterval = 50ms;

}  // namespace

TableFollower::TableFollower(const boost::asio::any_io_executor& executor,
                             platform::Store& store,
                             std::string table,
                             std::function<PollSchedule()> schedule,
                             OnRows on_rows)
    : m_store(store),
      m_table(std::move(table)),
      m_pace(std::move(schedule)),
      m_on_rows(std::move(on_rows)),
      m_timer(executor),
      m_random(std::random_device{}()) {}

Awaitable<void> TableFollower::Run() {
  while (true) {
    const TimePoint requested_at = Now();
    const PollSchedule schedule = m_pace();
    if (schedule.m_paused) {
      co_await WaitUntil(requested_at + kHoldPollInterval);
      continue;
    }
    m_poll_requested = false;
    const bool answered = co_await Poll(schedule.m_long_poll);
    if (m_poll_requested)
      continue;
    const TimePoint next =
        answered ? requested_at + schedule.m_interval
                 : Now() + std::max(schedule.m_retry_pause, RetryPause());
    if (next > Now())
      co_await WaitUntil(next);
  }
}

Awaitable<void> TableFollower::WaitUntil(TimePoint time) {
  m_timer.expires_at(time);
  boost::system::error_code ignored;
  co_await m_timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void TableFollower::PollNow() {
  m_poll_requested = true;
  m_timer.cancel();
}

Awaitable<bool> TableFollower::Poll(Duration wait) {
  const bool is_snapshot = m_revision == 0;
  AsyncResult<platform::Rows> rows = Failure();
  if (is_snapshot)
    rows = co_await m_store.ReadTable(m_table);
  else
    rows = co_await m_store.ReadChanges(m_table, m_revision, wait);
  if (!rows) {
    if (rows.error().m_code == FailureCode::kNotFound && !is_snapshot) {
      LogLine("history_gone")
          .With("table", m_table)
          .With("revision", m_revision)
          .Warn();
      m_revision = 0;
      co_return false;
    }
    RecordFailure(rows.error());
    co_return false;
  }
  RecordSuccess();
  RecordEra(*rows);
  m_revision = std::max(m_revision, rows->m_revision);
  m_on_rows(*rows, is_snapshot);
  co_return true;
}

void TableFollower::RecordSuccess() {
  if (m_connected)
    return;
  m_connected = true;
  if (m_was_connected)
    m_regained_at = Now();
  m_was_connected = true;
  LogLine("store_connected")
      .With("peer", ToString(m_store.endpoint()))
      .With("table", m_table)
      .Info();
}

void TableFollower::RecordEra(const platform::Rows& rows) {
  if (rows.m_era == m_era)
    return;
  LogLine("store_era")
      .With("table", m_table)
      .With("era", rows.m_era)
      .With("before", m_era)
      .With("revision", rows.m_revision)
      .With("known_revision", m_revision)
      .Warn();
  m_era = rows.m_era;
}

void TableFollower::RecordFailure(const Failure& failure) {
  if (!m_connected)
    return;
  m_connected = false;
  LogLine("store_lost").With("table", m_table).With(failure).Warn();
}

Duration TableFollower::RetryPause() {
  return Duration(std::uniform_int_distribution<int64_t>(
      kMinRetryPause.count(), kMaxRetryPause.count())(m_random));
}

}  // namespace verbenalead::links
