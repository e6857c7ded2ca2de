#ifndef VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
#define VERBENALEAD_LINKS_TABLE_FOLLOWER_H_

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>

#include "base/awaitable.h"
#include "base/time.h"
#include "links/follow_pace.h"
#include "platform/store.h"

namespace verbenalead::links {

/// Follows one table of the platform's store: reads it whole once, and what
/// changes from then on. Where the store has forgotten the changes, the table
/// is read whole again.
class TableFollower {
 public:
  /// `whole`: the rows are all that the table holds.
  using OnRows = std::function<void(const platform::Rows& rows, bool whole)>;

  /// `pace` is asked before each question.
  TableFollower(const boost::asio::any_io_executor& executor,
                platform::Store& store,
                std::string table,
                std::function<FollowPace()> pace,
                OnRows on_rows);

  /// Doesn't return.
  Awaitable<void> Run();

  /// Something has changed: asks at once, if it waits for its next question.
  void Poke();
  /// All changes up to `revision` have come another way and needn't be read.
  void SkipTo(uint64_t revision) {
    m_revision = std::max(m_revision, revision);
  }
  /// All changes up to this one are known; 0 where the table wasn't read.
  uint64_t revision() const { return m_revision; }
  /// Questions were answered before, but the last one wasn't.
  bool lost() const { return m_ever_connected && !m_connected; }
  /// When the first answer after a failure came; long ago where none failed.
  TimePoint regained_at() const { return m_regained_at; }

 private:
  Awaitable<bool> Ask(Duration wait);
  /// Waits until then, or until a poke.
  Awaitable<void> WaitUntil(TimePoint time);
  void NoteSuccess();
  void NoteFailure(const Failure& failure);
  Duration RetryPause();

  platform::Store& m_store;
  const std::string m_table;
  const std::function<FollowPace()> m_pace;
  const OnRows m_on_rows;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  bool m_poked = false;
  /// 0: the table has to be read whole.
  uint64_t m_revision = 0;
  bool m_connected = false;
  bool m_ever_connected = false;
  TimePoint m_regained_at{};
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
