#ifndef VERBENALEAD_LINKS_CALL_UPDATE_H_
#define VERBENALEAD_LINKS_CALL_UPDATE_H_

#include <string>

#include "links/replica_calls.h"
#include "links/statement_report.h"

namespace verbenalead::links {

/// Sent by an entry to a target process: the entry's calls in progress at the
/// replica on that host. The target process adds up the calls of all entries
/// and sends each entry the sum of the others
/// (ReplicaUpdate::m_other_entries_calls). If the entries informed each other
/// instead, the number of messages would grow with the square of the number of
/// entries.
struct CallUpdate {
  std::string m_replica;
  ReplicaCalls m_calls;
  /// What the entry knows of the replica's statements.
  StatementReport m_statements;

  friend bool operator==(const CallUpdate&, const CallUpdate&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_CALL_UPDATE_H_
