#include "decide/transfer/upload_slots.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Upload counts are kept for this many versions, the newest ones.
constexpr size_t kMaxVersions = 3;

}  // namespace

void EnqueueRequest(UploadSlots& slots,
                    uint64_t version,
                    const UploadRequest& request) {
  EnqueueUpload(slots.m_queues[version], request);
  const auto oldest = slots.m_queues.begin();
  if (slots.m_queues.size() > kMaxVersions && oldest->second.m_waiting.empty())
    slots.m_queues.erase(oldest);
}

std::optional<uint64_t> StartNextUpload(UploadSlots& slots, TimePoint now) {
  const auto active = std::count_if(
      slots.m_running.begin(), slots.m_running.end(),
      [now](const auto& each) { return now - each.second < kSlowUpload; });
  if (static_cast<size_t>(active) >= kMaxConcurrentUploads)
    return std::nullopt;
  for (auto& [version, queue] : slots.m_queues) {
    if (const auto next = DequeueUpload(queue)) {
      slots.m_running.emplace(next->m_id, now);
      return next->m_id;
    }
  }
  return std::nullopt;
}

void EndUpload(UploadSlots& slots, uint64_t id) {
  slots.m_running.erase(id);
  for (auto& [version, queue] : slots.m_queues)
    RemoveUpload(queue, id);
}

}  // namespace verbenalead::decide
