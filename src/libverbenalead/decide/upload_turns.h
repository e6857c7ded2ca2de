#ifndef VERBENALEAD_DECIDE_UPLOAD_TURNS_H_
#define VERBENALEAD_DECIDE_UPLOAD_TURNS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "decide/upload_queue.h"

namespace verbenalead::decide {

/// Which hosts are sent chunks now, of those that ask.
///
/// Load: a new version in a data centre of dozens of hosts, each of which asks
/// five others for chunks at once. Harm: a host that sends five chunks side by
/// side has none of them over before all are, so that nobody can pass the first
/// one on meanwhile, and links stand idle while the version spreads. Sent one
/// after the other they are over, on the mean, in half of the time.
///
///     Ask(turns, version, request);
///     while (const auto id = Next(turns, now)) ... send it, then End(turns,
///     id)
struct UploadTurns {
  /// What waits, by version.
  std::map<uint64_t, UploadQueue> m_queues;
  /// Uploads under way, by id, and when they began.
  std::map<uint64_t, TimePoint> m_running;
};

/// Uploads side by side: while one ends, the next one fills the link.
constexpr size_t kUploadsAtOnce = 2;
/// One that has lasted for longer is held up by its receiver's link. It holds
/// up nobody else.
constexpr Duration kHeldUpUpload = 300ms;

/// A host asks for a chunk of `version`.
void Ask(UploadTurns& turns, uint64_t version, const UploadRequest& request);

/// The upload that begins now; nothing where none may. An older version goes
/// first: a newer one is fetched while hosts wait for their turn to load it.
std::optional<uint64_t> Next(UploadTurns& turns, TimePoint now);

/// The upload is over, or its receiver has gone; also while it still waits.
void End(UploadTurns& turns, uint64_t id);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_UPLOAD_TURNS_H_
