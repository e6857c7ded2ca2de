#include "entry/replica_change_log.h"

#include "base/log.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kLineInterval = 1s;
constexpr size_t kMaxNamedReplicas = 16;

}  // namespace

void RecordReplicaChange(ReplicaChangeLog& log,
                         const std::string& replica,
                         const ReplicaChangeLog::Change& change) {
  const auto [known, added] = log.m_changes.emplace(replica, change);
  if (added)
    return;
  known->second.m_version = change.m_version;
  known->second.m_loading = change.m_loading;
}

std::string FormatChanges(const ReplicaChangeLog& log, size_t limit) {
  std::string text;
  for (const auto& [replica, change] : log.m_changes) {
    if (limit-- == 0)
      break;
    if (!text.empty())
      text += ' ';
    text += replica + ':' + std::to_string(change.m_before) + '>' +
            std::to_string(change.m_version);
    if (change.m_loading)
      text += ",loading";
  }
  return text;
}

void LogReplicaChanges(ReplicaChangeLog& log, TimePoint now) {
  if (log.m_changes.empty() || now - log.m_written_at < kLineInterval)
    return;
  LogLine("replica_weights")
      .With("changed", static_cast<uint64_t>(log.m_changes.size()))
      .With("replicas", FormatChanges(log, kMaxNamedReplicas))
      .Info();
  log.m_written_at = now;
  log.m_changes.clear();
}

}  // namespace verbenalead::entry
