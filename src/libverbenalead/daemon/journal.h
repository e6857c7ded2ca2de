#ifndef VERBENALEAD_DAEMON_JOURNAL_H_
#define VERBENALEAD_DAEMON_JOURNAL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log.h"

namespace verbenalead::daemon {

/// Log lines of this process about recent requests, kept in memory for
/// `vlctl trace`. The number of requests is bounded; the oldest are evicted
/// first. May be used from several threads; requests are distributed over
/// shards, each with its own lock.
class Journal {
 public:
  /// Keeps the lines of about `max_requests` requests; `host` is named in each
  /// line.
  Journal(std::string host, size_t max_requests);

  /// Writes `line` to the log and keeps it under `request`.
  void Record(const std::string& request, LogLine line);
  /// Removes and returns the lines recorded since the last call, as a segment
  /// for the object store; empty if there are none. If lines had to be dropped
  /// because the store was too slow, the segment starts with their number.
  std::string ExtractSegment();
  /// The lines of `request`, oldest first: "unix_us=... host=... event=...".
  std::vector<std::string> Find(const std::string& request) const;

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<std::string>> m_lines;
    std::deque<std::string> m_order;
  };

  const Shard& ShardOf(const std::string& request) const;

  void Buffer(const std::string& line);

  const std::string m_host;
  const size_t m_max_per_shard;
  std::mutex m_segment_mutex;
  std::string m_segment;
  uint64_t m_dropped = 0;
  std::array<Shard, kShards> m_shards;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_JOURNAL_H_
