#include "links/table_follower.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/log.h"
#include "decide/store/poll_pace.h"

namespace verbenalead::links {
namespace {

/// Bounds of the random pause after a failed request. Changes must be in force
/// within a second; with these pauses, the return of the store is detected
/// within the first half of that second. All processes together then send 30
/// requests a second, of the 2,000 a second that the store can answer.
constexpr Duration kMinRetryPause = 150ms;
constexpr Duration kMaxRetryPause = 350ms;
/// Least time between two log lines of reads that fail one after the other.
constexpr Duration kFailureLineInterval = 10s;
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
    const TimePoint next = decide::NextRequestAt(
        {requested_at, Now(), answered}, schedule.m_interval,
        std::max({schedule.m_retry_pause, RetryPause(), m_unreadable_pause}));
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
  const bool whole = decide::NeedsWholeTable(m_cursor);
  AsyncResult<platform::Rows> rows = Failure();
  // The store may have come back from a copy and stand just where this process
  // had read to. It then holds a request open, and only the answer tells the
  // era.
  const Duration hold = m_connected ? wait : Duration();
  if (whole)
    rows = co_await m_store.ReadTable(m_table);
  else
    rows = co_await m_store.ReadChanges(m_table, m_cursor.m_revision, hold);
  if (!rows) {
    if (rows.error().m_code == FailureCode::kNotFound && !whole)
      RecordHistoryGone();
    else
      RecordFailure(rows.error());
    co_return false;
  }
  RecordSuccess();
  const decide::AnswerUse use = RecordAnswer(*rows, whole);
  m_was_whole = whole;
  if (use == decide::AnswerUse::kReadWhole)
    m_poll_requested = true;
  if (use == decide::AnswerUse::kApply)
    m_on_rows(*rows, whole);
  co_return true;
}

decide::AnswerUse TableFollower::RecordAnswer(const platform::Rows& rows,
                                              bool whole) {
  const decide::TableCursor before = m_cursor;
  const decide::AnswerUse use =
      decide::RecordAnswer(m_cursor, rows.m_revision, whole);
  const bool discarded = use == decide::AnswerUse::kDiscard;
  if (discarded || rows.m_revision.m_era != before.m_revision.m_era) {
    LogLine("store_era")
        .With("table", m_table)
        .With("revision", ToString(rows.m_revision))
        .With("known_revision", ToString(before.m_revision))
        .With("whole_table", whole)
        .With("discarded", discarded)
        .Warn();
  }
  return use;
}

void TableFollower::RecordHistoryGone() {
  LogLine("history_gone")
      .With("table", m_table)
      .With("revision", ToString(m_cursor.m_revision))
      .Warn();
  decide::RecordHistoryGone(m_cursor);
  // The whole table is read at once, but not time and again if the store drops
  // its history all the time.
  if (!m_was_whole)
    m_poll_requested = true;
}

void TableFollower::RecordSuccess() {
  if (m_connected)
    return;
  m_connected = true;
  m_failures = 0;
  if (m_was_connected)
    m_regained_at = Now();
  m_was_connected = true;
  LogLine("store_connected")
      .With("peer", ToString(m_store.endpoint()))
      .With("table", m_table)
      .Info();
}

void TableFollower::RecordFailure(const Failure& failure) {
  ++m_failures;
  m_unreadable_pause = IsUnreadable(failure)
                           ? decide::PauseAfterUnreadable(m_failures)
                           : Duration();
  const TimePoint now = Now();
  const bool lost = std::exchange(m_connected, false);
  if (!lost && now < m_next_failure_line)
    return;
  m_next_failure_line = now + kFailureLineInterval;
  LogLine(lost ? "store_lost" : "store_not_read")
      .With("table", m_table)
      .With("failures", m_failures)
      .With(failure)
      .Warn();
}

Duration TableFollower::RetryPause() {
  return Duration(std::uniform_int_distribution<int64_t>(
      kMinRetryPause.count(), kMaxRetryPause.count())(m_random));
}

}  // namespace verbenalead::links
