#include "daemon/journal.h"

#include <chrono>
#include <functional>

namespace verbenalead::daemon {
namespace {

/// Maximum number of lines kept for one request. A call has up to three
/// attempts, with a few lines each.
constexpr size_t kMaxLines = 64;

/// Maximum number of bytes buffered for the object store: about 4,000 lines.
/// While the store is down or slow, further lines are dropped, so that the
/// buffer doesn't take the memory that requests need.
constexpr size_t kMaxSegment = size_t{1} << 20;

int64_t UnixMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Journal::Journal(std::string host, size_t max_requests)
    : m_host(std::move(host)), m_max_per_shard(max_requests / kShards + 1) {}

const Journal::Shard& Journal::ShardOf(const std::string& request) const {
  return m_shards[std::hash<std::string>()(request) % kShards];
}

void Journal::Record(const std::string& request, LogLine line) {
  line.With("request", request);
  line.Info();
  Shard& shard = const_cast<Shard&>(ShardOf(request));
  std::string text = "unix_us=" + std::to_string(UnixMicroseconds()) +
                     " host=" + m_host + " " + line.text();
  Buffer(text);
  std::lock_guard lock(shard.m_mutex);
  auto [found, added] = shard.m_lines.try_emplace(request);
  if (added)
    shard.m_order.push_back(request);
  if (found->second.size() < kMaxLines)
    found->second.push_back(std::move(text));
  while (shard.m_order.size() > m_max_per_shard) {
    shard.m_lines.erase(shard.m_order.front());
    shard.m_order.pop_front();
  }
}

void Journal::Buffer(const std::string& line) {
  std::lock_guard lock(m_segment_mutex);
  if (m_segment.size() + line.size() > kMaxSegment) {
    ++m_dropped;
    return;
  }
  m_segment += line;
  m_segment += '\n';
}

std::string Journal::ExtractSegment() {
  std::lock_guard lock(m_segment_mutex);
  std::string segment = std::move(m_segment);
  m_segment.clear();
  if (m_dropped > 0) {
    segment = LogLine("journal_dropped")
                  .With("host", m_host)
                  .With("lines", m_dropped)
                  .text() +
              "\n" + segment;
  }
  m_dropped = 0;
  return segment;
}

std::vector<std::string> Journal::Find(const std::string& request) const {
  const Shard& shard = ShardOf(request);
  std::lock_guard lock(shard.m_mutex);
  auto found = shard.m_lines.find(request);
  return found == shard.m_lines.end() ? std::vector<std::string>()
                                      : found->second;
}

}  // namespace verbenalead::daemon
