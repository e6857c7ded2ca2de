#ifndef VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_
#define VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace verbenalead::standins {

/// In-memory rows of the stand-in for the platform's store. Each transaction
/// gets a revision.
class RowStore {
 public:
  /// Applies a transaction. Returns false, and changes nothing, if a
  /// precondition does not hold.
  bool Apply(const boost::json::object& transaction);
  /// Returns all rows of `part` of `table`.
  boost::json::object Read(const std::string& table,
                           const std::string& part) const;
  /// Returns the parts of `table` that contain rows.
  boost::json::object Parts(const std::string& table) const;
  /// Returns the changes in `table` after `revision`, or nullopt if the history
  /// since then was dropped.
  std::optional<boost::json::object> Changes(const std::string& table,
                                             uint64_t revision) const;
  bool HasChanges(const std::string& table, uint64_t revision) const;
  /// Drops the history of changes up to now.
  void Forget() { m_history_start = m_revision; }

 private:
  struct Row {
    std::string m_value;
    uint64_t m_revision = 0;
    bool m_deleted = false;
  };
  /// Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;

  static Key KeyOf(const boost::json::object& row);
  bool Holds(const boost::json::object& transaction) const;
  boost::json::object Answer(boost::json::array rows) const;

  std::map<Key, Row> m_rows;
  uint64_t m_revision = 1;
  uint64_t m_history_start = 0;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_STORE_ROW_STORE_H_
