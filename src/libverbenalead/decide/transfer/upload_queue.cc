#include "decide/transfer/upload_queue.h"

#include <algorithm>
#include <tuple>

namespace verbenalead::decide {

void EnqueueUpload(UploadQueue& queue, const UploadRequest& request) {
  if (queue.m_sent.size() <= request.m_chunk)
    queue.m_sent.resize(request.m_chunk + 1);
  queue.m_waiting.push_back(request);
}

std::optional<UploadRequest> DequeueUpload(UploadQueue& queue) {
  auto key = [&](const UploadRequest& request) {
    return std::tuple(queue.m_sent[request.m_chunk], !request.m_other_region,
                      request.m_chunk_count);
  };
  const auto first = std::min_element(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const auto& a, const auto& b) { return key(a) < key(b); });
  if (first == queue.m_waiting.end())
    return std::nullopt;
  const UploadRequest request = *first;
  // The last element is not swapped in: requests that compare equal must stay
  // in order of arrival.
  queue.m_waiting.erase(first);
  ++queue.m_sent[request.m_chunk];
  return request;
}

void RemoveUpload(UploadQueue& queue, uint64_t id) {
  std::erase_if(queue.m_waiting,
                [id](const UploadRequest& each) { return each.m_id == id; });
}

}  // namespace verbenalead::decide
