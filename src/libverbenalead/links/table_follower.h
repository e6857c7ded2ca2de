#ifndef VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
#define VERBENALEAD_LINKS_TABLE_FOLLOWER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>

#include "base/awaitable.h"
#include "base/time.h"
#include "decide/store/table_cursor.h"
#include "links/poll_schedule.h"
#include "platform/store.h"

namespace verbenalead::links {

/// Follows one table of the platform's store: reads the whole table once and
/// only its changes from then on. If the store doesn't have the history of
/// changes, or has come back from a copy, the whole table is read again.
class TableFollower {
 public:
  /// `is_snapshot`: the rows are the whole table rather than changes.
  using OnRows =
      std::function<void(const platform::Rows& rows, bool is_snapshot)>;

  /// `schedule` is called before each request to the store.
  TableFollower(const boost::asio::any_io_executor& executor,
                platform::Store& store,
                std::string table,
                std::function<PollSchedule()> schedule,
                OnRows on_rows);

  /// Follows the table; never returns.
  Awaitable<void> Run();

  /// Ends the pause before the next request, because the table is expected to
  /// have changed or has to be read now. During a request, the next one follows
  /// at once.
  void PollNow();
  /// Records that all changes up to `revision` came from another process, so
  /// that they aren't read from the store.
  void SkipTo(model::Revision revision) { decide::SkipTo(m_cursor, revision); }
  /// Another process has stated that the store is in `era`. If that is news,
  /// the whole table is read again, unless a schedule that pauses lets SkipTo()
  /// come first.
  void NoteEra(uint64_t era) {
    if (decide::RecordEra(m_cursor, era))
      PollNow();
  }
  /// Revision up to which all changes are known; number 0 if the table hasn't
  /// been read.
  model::Revision revision() const { return m_cursor.m_revision; }
  /// Whether the last request was answered.
  bool is_connected() const { return m_connected; }
  /// Whether the last request failed after an earlier one had succeeded.
  bool connection_lost() const { return m_was_connected && !m_connected; }
  /// When the connection to the store was last restored after a failure; the
  /// epoch of the clock if it was never lost.
  TimePoint regained_at() const { return m_regained_at; }

 private:
  Awaitable<bool> Poll(Duration wait);
  /// Waits until `time` or until PollNow() is called.
  Awaitable<void> WaitUntil(TimePoint time);
  void RecordSuccess();
  /// Decides what to do with an answer and logs a change of the store's era.
  decide::AnswerUse RecordAnswer(const platform::Rows& rows, bool whole);
  void RecordHistoryGone();
  void RecordFailure(const Failure& failure);
  Duration RetryPause();

  platform::Store& m_store;
  const std::string m_table;
  const std::function<PollSchedule()> m_pace;
  const OnRows m_on_rows;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  bool m_poll_requested = false;
  decide::TableCursor m_cursor;
  /// The last answer was the whole table.
  bool m_was_whole = false;
  bool m_connected = false;
  /// Reads that have failed since the last one that was answered.
  uint64_t m_failures = 0;
  TimePoint m_next_failure_line{};
  /// Least pause after a read that the same request would repeat.
  Duration m_unreadable_pause{};
  bool m_was_connected = false;
  TimePoint m_regained_at{};
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
