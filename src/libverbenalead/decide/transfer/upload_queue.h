#ifndef VERBENALEAD_DECIDE_TRANSFER_UPLOAD_QUEUE_H_
#define VERBENALEAD_DECIDE_TRANSFER_UPLOAD_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

namespace verbenalead::decide {

/// A request of another host for a chunk that this host has.
struct UploadRequest {
  uint64_t m_id = 0;
  uint32_t m_chunk = 0;
  /// The requesting host is in another region, where no host has the chunk.
  bool m_other_region = false;
  /// Number of chunks that the requesting host has.
  uint32_t m_chunk_count = 0;

  friend auto operator<=>(const UploadRequest&, const UploadRequest&) = default;
};

/// Requests for chunks of one version that wait for this host's upload link.
struct UploadQueue {
  std::vector<UploadRequest> m_waiting;
  /// How often each chunk has been sent, by chunk number.
  std::vector<uint32_t> m_sent;
};

void EnqueueUpload(UploadQueue& queue, const UploadRequest& request);
/// Removes and returns the request to serve next; nullopt if none waits. Costs
/// O(waiting requests), which are about as many as there are followers.
///
/// Load: a burst in which all followers request the same new chunk. Harm: in
/// order of arrival that chunk is sent a dozen times before the next chunk is
/// sent at all, although its first receivers could pass it on. Therefore the
/// chunk that was sent least goes first. Among equals, a host of another region
/// goes first, because its whole region waits for the chunk; then the host with
/// the fewest chunks, because a version takes effect everywhere only when the
/// last host has it.
std::optional<UploadRequest> DequeueUpload(UploadQueue& queue);
/// Removes the request `id`, for instance because its host has disconnected.
void RemoveUpload(UploadQueue& queue, uint64_t id);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_UPLOAD_QUEUE_H_
