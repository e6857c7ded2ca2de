#ifndef VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
#define VERBENALEAD_LINKS_TABLE_FOLLOWER_H_

#include <functional>
#include <random>
#include <string>

#include "base/awaitable.h"
#include "base/time.h"
#include "platform/store.h"

namespace verbenalead::links {

struct TableFollowerOptions {
  std::string m_table;
  /// How long the store may hold a question until something changes.
  Duration m_wait{};
  /// Least time between two questions.
  Duration m_interval{};

  friend bool operator==(const TableFollowerOptions&,
                         const TableFollowerOptions&) = default;
};

/// Follows one table of the platform's store: reads it whole once, and what
/// changes from then on. Where the store has forgotten the changes, the table
/// is read whole again.
class TableFollower {
 public:
  /// `whole`: the rows are all that the table holds.
  using OnRows = std::function<void(const platform::Rows& rows, bool whole)>;

  TableFollower(platform::Store& store,
                TableFollowerOptions options,
                OnRows on_rows);

  /// Doesn't return.
  Awaitable<void> Run();

  /// The last question was answered.
  bool connected() const { return m_connected; }
  /// When the first answer after a failure came; long ago where none failed.
  TimePoint regained_at() const { return m_regained_at; }

 private:
  Awaitable<bool> Ask();
  void NoteSuccess();
  void NoteFailure(const Failure& failure);
  Duration RetryPause();

  platform::Store& m_store;
  const TableFollowerOptions m_options;
  const OnRows m_on_rows;
  std::mt19937_64 m_random;
  /// 0: the table has to be read whole.
  uint64_t m_revision = 0;
  bool m_connected = false;
  bool m_ever_connected = false;
  TimePoint m_regained_at{};
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_TABLE_FOLLOWER_H_
