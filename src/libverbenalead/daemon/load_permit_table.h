#ifndef VERBENALEAD_DAEMON_LOAD_PERMIT_TABLE_H_
#define VERBENALEAD_DAEMON_LOAD_PERMIT_TABLE_H_

#include <string>

#include "backends/table.h"
#include "decide/rollout/load_permits.h"
#include "decide/rollout/rollout.h"

namespace verbenalead::daemon {

/// Reads and writes the load permits of one pool, which are one item of the
/// platform's table.
class LoadPermitTable {
 public:
  LoadPermitTable(std::string pool, backends::Table& table)
      : m_pool(std::move(pool)), m_table(table) {}

  /// Returns no permits and revision 0 if the item does not exist yet.
  Awaitable<AsyncResult<decide::LoadPermits>> Read();
  /// Writes `permits` if the revision of the stored item is one below the
  /// revision of `permits` (compare-and-swap).
  Awaitable<decide::WriteResult> Write(decide::LoadPermits permits);

 private:
  const std::string m_pool;
  backends::Table& m_table;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_LOAD_PERMIT_TABLE_H_
