#ifndef VERBENALEAD_DECIDE_UPLOAD_QUEUE_H_
#define VERBENALEAD_DECIDE_UPLOAD_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

namespace verbenalead::decide {

/// One host's wait for a chunk of ours.
struct UploadRequest {
  uint64_t m_id = 0;
  uint32_t m_chunk = 0;
  /// The asking host stands in another region, where nobody else has this.
  bool m_far = false;
  /// Chunks that the asking host holds.
  uint32_t m_held = 0;

  friend auto operator<=>(const UploadRequest&, const UploadRequest&) = default;
};

/// Requests for chunks of one version that wait for this host's link.
struct UploadQueue {
  std::vector<UploadRequest> m_waiting;
  /// How often each chunk has been sent.
  std::vector<uint32_t> m_sent;
};

void AddUpload(UploadQueue& queue, const UploadRequest& request);
/// Takes out the request to serve next; nullopt if none waits. Costs O(waiting
/// requests), of which there are about as many as followers.
///
/// The load is a burst in which all followers ask for the same new chunk. First
/// come, first served sends it a dozen times before the next one gets out at
/// all, while its first receivers could send it on; so the chunk that was sent
/// least goes first. Then a host of another region, because its whole region
/// waits for it; then the host that has least, because the last host decides
/// when a version is in force everywhere.
std::optional<UploadRequest> TakeUpload(UploadQueue& queue);
/// Removes a request whose host has gone.
void DropUpload(UploadQueue& queue, uint64_t id);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_UPLOAD_QUEUE_H_
