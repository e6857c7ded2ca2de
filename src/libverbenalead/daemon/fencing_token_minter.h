#ifndef VERBENALEAD_DAEMON_FENCING_TOKEN_MINTER_H_
#define VERBENALEAD_DAEMON_FENCING_TOKEN_MINTER_H_

#include <cstdint>
#include <string>

#include "backends/table.h"

namespace verbenalead::daemon {

/// Issues the fencing tokens of the orders that a process gives to its host. A
/// table item per host holds the last token and the process that issued it. The
/// first token of a process supersedes the previous process of the host. A
/// process that later finds a token of another process there has been
/// superseded itself; so a process that resumes after a long pause can't give
/// orders any more.
class FencingTokenMinter {
 public:
  FencingTokenMinter(std::string host, uint64_t owner, backends::Table& table);

  /// Issues the next token. kConflict: this process has been superseded, which
  /// is final. Any other failure may be retried.
  Awaitable<AsyncResult<uint64_t>> IssueToken();

 private:
  const std::string m_host;
  /// Identifies this process in the item, so that a token whose write was
  /// committed but not answered is recognised when the item is read again.
  const std::string m_owner;
  backends::Table& m_table;
  bool m_minted = false;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_FENCING_TOKEN_MINTER_H_
