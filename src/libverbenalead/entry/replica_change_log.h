#ifndef VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_
#define VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace verbenalead::entry {

/// Collects changes of the weights of replicas for the log.
///
/// Load: all replicas load weights within seconds, and each entry receives an
/// update for each step. Harm: with a line for each update, these lines make up
/// most of the log and hide the rest from its reader. So all changes within a
/// second are written as one line, which names the first of them.
struct ReplicaChangeLog {
  struct Change {
    uint64_t m_before = 0;
    uint64_t m_version = 0;
    bool m_loading = false;

    friend bool operator==(const Change&, const Change&) = default;
  };
  /// The change of each replica since the last line, by replica id.
  std::map<std::string, Change> m_changes;
  TimePoint m_written_at{};
};

void RecordReplicaChange(ReplicaChangeLog& log,
                         const std::string& replica,
                         const ReplicaChangeLog::Change& change);

/// Formats at most `limit` changes as in the log line: "i-1:1>2" for a replica
/// that has other weights, "i-2:1>1,loading" for one that loads.
std::string FormatChanges(const ReplicaChangeLog& log, size_t limit);

/// Writes the line if there are changes and the last log line is at least a
/// second old.
void LogReplicaChanges(ReplicaChangeLog& log, TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_
