#include "decide/upload_slots.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Upload counts are kept for this many versions, the newest ones.
constexpr size_t kMaxVersions = 3;

}  // namespace

void Ask(UploadTurns& turns, uint64_t version, const UploadRequest& request) {
  AddUpload(turns.m_queues[version], request);
  const auto oldest = turns.m_queues.begin();
  if (turns.m_queues.size() > kMaxVersions && oldest->second.m_waiting.empty())
    turns.m_queues.erase(oldest);
}

std::optional<uint64_t> Next(UploadTurns& turns, TimePoint now) {
  const auto active = std::count_if(
      turns.m_running.begin(), turns.m_running.end(),
      [now](const auto& each) { return now - each.second < kHeldUpUpload; });
  if (static_cast<size_t>(active) >= kUploadsAtOnce)
    return std::nullopt;
  for (auto& [version, queue] : turns.m_queues) {
    if (const auto next = TakeUpload(queue)) {
      turns.m_running.emplace(next->m_id, now);
      return next->m_id;
    }
  }
  return std::nullopt;
}

void End(UploadTurns& turns, uint64_t id) {
  turns.m_running.erase(id);
  for (auto& [version, queue] : turns.m_queues)
    DropUpload(queue, id);
}

}  // namespace verbenalead::decide
