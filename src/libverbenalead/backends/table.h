#ifndef VERBENALEAD_BACKENDS_TABLE_H_
#define VERBENALEAD_BACKENDS_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/failure.h"

namespace verbenalead::backends {

/// One item of the platform's table, identified by partition and sort key.
struct TableItem {
  std::string m_partition;
  std::string m_sort;
  /// Set by the writer of the item; write conditions compare it.
  uint64_t m_revision = 0;
  std::string m_value;

  friend bool operator==(const TableItem&, const TableItem&) = default;
};

/// One write of a transaction.
struct TableWrite {
  enum class Condition { kNone, kAbsent, kRevisionIs };
  TableItem m_item;
  Condition m_condition = Condition::kNone;
  /// The revision that the stored item must have for kRevisionIs.
  uint64_t m_expected_revision = 0;
};

enum class TransactResult { kCommitted, kConflict };

/// Interface of the platform's transactional table service. Tests mock it.
///
/// If Transact fails with kTimeout or kBroken, the write may have taken effect
/// and only its answer may be lost. The caller has to read the items again to
/// find out.
class Table {
 public:
  virtual ~Table() = default;

  virtual Awaitable<AsyncResult<std::optional<TableItem>>> Get(
      std::string partition,
      std::string sort) = 0;
  /// Returns the items of `partition` with a sort key after `after_sort`, in
  /// order, at most `limit`.
  virtual Awaitable<AsyncResult<std::vector<TableItem>>>
  Query(std::string partition, std::string after_sort, uint32_t limit) = 0;
  /// Applies all writes or none. kConflict: the condition of a write did not
  /// hold.
  virtual Awaitable<AsyncResult<TransactResult>> Transact(
      std::vector<TableWrite> writes) = 0;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_TABLE_H_
