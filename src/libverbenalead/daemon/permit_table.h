#ifndef VERBENALEAD_DAEMON_PERMIT_TABLE_H_
#define VERBENALEAD_DAEMON_PERMIT_TABLE_H_

#include <string>

#include "backends/table.h"
#include "decide/permit_board.h"
#include "decide/rollout.h"

namespace verbenalead::daemon {

/// The permits of one pool as an item of the platform's table.
class PermitTable {
 public:
  PermitTable(std::string pool, backends::Table& table)
      : m_pool(std::move(pool)), m_table(table) {}

  /// A pool whose permits were never written reads as empty, revision 0.
  Awaitable<AsyncResult<decide::PermitBoard>> Read();
  /// Writes `board` if the item stands at the revision before its own.
  Awaitable<decide::WriteResult> Write(decide::PermitBoard board);

 private:
  const std::string m_pool;
  backends::Table& m_table;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_PERMIT_TABLE_H_
