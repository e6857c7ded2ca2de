#ifndef VERBENALEAD_BACKENDS_TABLE_H_
#define VERBENALEAD_BACKENDS_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/failure.h"

namespace verbenalead::backends {

/// One item of the platform's table, named by partition and sort key.
struct TableItem {
  std::string m_partition;
  std::string m_sort;
  /// Ours to set; conditions compare it.
  uint64_t m_revision = 0;
  std::string m_value;

  friend bool operator==(const TableItem&, const TableItem&) = default;
};

/// One write of a transaction.
struct TableWrite {
  enum class Condition { kNone, kAbsent, kRevisionIs };
  TableItem m_item;
  Condition m_condition = Condition::kNone;
  /// For kRevisionIs.
  uint64_t m_expected_revision = 0;
};

enum class TransactResult { kCommitted, kConflict };

/// The platform's transactional table service. Tests mock it.
///
/// A failure of Transact with kTimeout or kBroken means that the write may have
/// taken effect: its answer is lost, not the write. The caller finds out by
/// reading what it wrote.
class Table {
 public:
  virtual ~Table() = default;

  virtual Awaitable<AsyncResult<std::optional<TableItem>>> Get(
      std::string partition,
      std::string sort) = 0;
  /// Items of `partition` after `after_sort` in order, `limit` at most.
  virtual Awaitable<AsyncResult<std::vector<TableItem>>>
  Query(std::string partition, std::string after_sort, uint32_t limit) = 0;
  /// All writes or none. kConflict: a condition did not hold.
  virtual Awaitable<AsyncResult<TransactResult>> Transact(
      std::vector<TableWrite> writes) = 0;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_TABLE_H_
