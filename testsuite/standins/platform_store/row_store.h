#ifndef VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_
#define VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace verbenalead::standins {

/// In-memory rows of the stand-in for the platform's store. Each transaction
/// gets a revision. The rows may be replaced by a copy of earlier ones, after
/// which revisions are given out again.
class RowStore {
  struct Row {
    std::string m_value;
    uint64_t m_revision = 0;
    bool m_deleted = false;
  };
  /// Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;

 public:
  /// Writes that a copy lacks: the newest of each row.
  struct LostWrites {
    /// The newest revision of the copy.
    uint64_t m_copy_revision = 0;
    std::map<Key, Row> m_rows;
  };

  /// A range of keys.
  struct Range {
    std::string m_from;
    /// The first key that isn't in the range; empty: there is none.
    std::string m_to;
    /// Most rows of an answer.
    size_t m_limit = 0;
  };

  /// Applies a transaction. Returns false, and changes nothing, if a
  /// precondition does not hold.
  bool Apply(const boost::json::object& transaction);
  /// Returns the rows of `part` of `table` within `range`, in ascending order
  /// of bytes, and whether there are more.
  boost::json::object Read(const std::string& table,
                           const std::string& part,
                           const Range& range) const;
  /// Returns `limit` parts of `table` that contain rows, those after `after`.
  boost::json::object Parts(const std::string& table,
                            const std::string& after,
                            size_t limit) const;
  /// Returns the changes in `table` after `revision`, or nullopt if the history
  /// since then was dropped or `revision` hasn't been given out.
  std::optional<boost::json::object> Changes(const std::string& table,
                                             uint64_t revision) const;
  bool HasChanges(const std::string& table, uint64_t revision) const;
  /// Drops the history of changes up to now.
  void Forget() { m_history_start = m_revision; }

  /// Replaces the rows by a copy that is `age` old, and begins the next era.
  /// Returns the writes that the copy lacks.
  LostWrites ReturnFromCopy(Duration age);
  /// Writes those of `lost` that are not this project's own and were not
  /// written since, each as a transaction. Returns the number of them.
  uint64_t WriteAgain(const LostWrites& lost);
  /// Uses up `count` revisions for rows of another table.
  void SkipRevisions(uint64_t count) { m_revision += count; }

  uint64_t era() const { return m_era; }
  uint64_t revision() const { return m_revision; }
  /// Adds to the clock that answers state.
  void ShiftClock(Duration shift) { m_clock_shift += shift; }

 private:
  /// What a transaction changed: the row before it, absent if there was none.
  struct Change {
    TimePoint m_at;
    uint64_t m_revision_before = 0;
    Key m_key;
    std::optional<Row> m_before;
  };

  static Key KeyOf(const boost::json::object& row);
  bool Holds(const boost::json::object& transaction) const;
  boost::json::object Answer(boost::json::array rows, bool has_more) const;
  /// Sets the row and records the change, for a later return from a copy.
  void SetRow(const Key& key, Row row, uint64_t revision_before);

  std::map<Key, Row> m_rows;
  uint64_t m_revision = 1;
  uint64_t m_history_start = 0;
  uint64_t m_era = 1;
  Duration m_clock_shift{};
  std::deque<Change> m_changes;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_
