#ifndef VERBENALEAD_DAEMON_FENCE_MINTER_H_
#define VERBENALEAD_DAEMON_FENCE_MINTER_H_

#include <cstdint>
#include <string>

#include "backends/table.h"

namespace verbenalead::daemon {

/// Mints the fencing numbers of one host's orders: an item of the table that
/// holds the last number and the process that minted it. The first number of a
/// process takes the host over; a process that then finds another one's number
/// there has been taken over itself, however long it was paused.
class FenceMinter {
 public:
  FenceMinter(std::string host, uint64_t owner, backends::Table& table);

  /// kConflict: this process has been taken over, for good. Any other failure:
  /// try again.
  Awaitable<AsyncResult<uint64_t>> Mint();

 private:
  const std::string m_host;
  /// Written into the item, so that a mint whose answer was lost is known for
  /// ours when it is read back.
  const std::string m_owner;
  backends::Table& m_table;
  bool m_minted = false;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_FENCE_MINTER_H_
