#ifndef VERBENALEAD_DECIDE_TRANSFER_UPLOAD_SLOTS_H_
#define VERBENALEAD_DECIDE_TRANSFER_UPLOAD_SLOTS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "decide/transfer/upload_queue.h"

namespace verbenalead::decide {

/// Schedules the uploads of a host: which of the requested chunks are sent now.
///
/// Load: a new version in a data centre of dozens of hosts, each of which
/// requests chunks from five others at once. Harm: a host that sends five
/// chunks concurrently completes none of them before all are complete, so that
/// no receiver can pass the first one on meanwhile, and links are idle while
/// the version spreads. Sent one after the other, chunks are complete after
/// half the time on average.
///
///     EnqueueRequest(slots, version, request);
///     while (const auto id = StartNextUpload(slots, now))
///       ... send it, then EndUpload(slots, *id)
struct UploadSlots {
  /// Waiting requests, by version.
  std::map<uint64_t, UploadQueue> m_queues;
  /// Start times of the uploads in progress, by id.
  std::map<uint64_t, TimePoint> m_running;
};

/// Concurrent uploads: when one ends, the other keeps the link busy.
constexpr size_t kMaxConcurrentUploads = 2;
/// An upload that takes longer is limited by its receiver's link and no longer
/// counts as concurrent, so that it does not block others.
constexpr Duration kSlowUpload = 300ms;

/// Queues the request of a host for a chunk of `version`.
void EnqueueRequest(UploadSlots& slots,
                    uint64_t version,
                    const UploadRequest& request);

/// Starts the next upload and returns its id; nullopt if none may start. Older
/// versions go first: a newer version is less urgent, since its chunks are
/// fetched while hosts wait for their turn to load it.
std::optional<uint64_t> StartNextUpload(UploadSlots& slots, TimePoint now);

/// Ends upload `id`: it completed, or its receiver disconnected. Also removes a
/// request that still waits.
void EndUpload(UploadSlots& slots, uint64_t id);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_UPLOAD_SLOTS_H_
