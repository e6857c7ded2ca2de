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

/// What this process has decided about recent requests, for `vlctl trace`.
/// Bounded: the oldest requests are forgotten first. May be used from several
/// threads; requests are spread over shards, each under its own lock.
class Journal {
 public:
  /// Remembers `max_requests` at most; `host` is named in each line.
  Journal(std::string host, size_t max_requests);

  /// Writes `line` to the log and remembers it under `request`.
  void Record(const std::string& request, LogLine line);
  /// The lines written since the last call, for a segment in the object store.
  /// Empty if there are none. Starts with the number of lines that were dropped
  /// because the store had not taken them in time.
  std::string TakeSegment();
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
