#ifndef VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_
#define VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace verbenalead::entry {

/// What an entry has come to believe of the weights of replicas, for its log.
///
/// Load: all replicas load within seconds, and each entry hears of each step.
/// Harm: a line for each makes most of the log, too much for its reader. The
/// changes of a second make one line, which names the first of them.
struct ReplicaChangeLog {
  struct Change {
    uint64_t m_before = 0;
    uint64_t m_version = 0;
    bool m_loading = false;

    friend bool operator==(const Change&, const Change&) = default;
  };
  /// The last change of each replica since the last line.
  std::map<std::string, Change> m_changes;
  TimePoint m_written_at{};
};

void NoteReplicaChange(ReplicaChangeLog& log,
                       const std::string& replica,
                       const ReplicaChangeLog::Change& change);

/// The changes as they stand in the line, `most` at most: "i-1:1>2" for a
/// replica that has other weights, "i-2:1>1,loading" for one that loads.
std::string FormatChanges(const ReplicaChangeLog& log, size_t most);

/// Writes the line if there is something to tell and a second has passed.
void WriteReplicaChanges(ReplicaChangeLog& log, TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_REPLICA_CHANGE_LOG_H_
