#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_H_

#include <random>
#include <string>
#include <vector>

#include "decide/transfer/origin_fetch_report.h"
#include "decide/transfer/transfer_state.h"

namespace verbenalead::decide {

/// Decides how one host obtains the chunks of one version while hundreds of
/// other hosts fetch the same version. The daemon reports events as they occur;
/// Step returns what to do next:
///
///     TransferState state = StartTransfer(self, chunks, limits, now);
///     SetMembers(state, live_hosts, now, random);
///     RecordNeighbourChunks(state, "host-7", {0, 3}, now);
///     for (const FetchChunk& fetch : Step(state, now, random).m_fetches) ...
///
/// Each chunk is fetched from the origin by one host, the first by rendezvous
/// hash. One host of each other region, again the first by the same hash,
/// imports the chunk into that region. Within a region, hosts fetch chunks from
/// their neighbours, the rarest chunk first.
///
/// Costs: an update about a chunk costs O(neighbours) to look up the name and
/// O(log chunks) to reschedule. Step costs O(1) while nothing is due or the
/// fetch window is full, otherwise O(chunks examined), usually only the first
/// one. SetMembers costs O(chunks x hosts) hashes of 2 ns each and is called
/// only when the set of hosts changes.
///
/// `scheduled`: when the first chunk is due; the same on all hosts that know
/// this time. Failure: hosts learn of a version one by one, and each schedules
/// its origin fetches from that time on. Symptom: the last chunks leave the
/// origin only after the last host has learned of the version, while the
/// origin's link was idle before.
TransferState StartTransfer(TransferMember self,
                            uint32_t chunk_count,
                            TransferLimits limits,
                            TimePoint now,
                            TimePoint scheduled);
/// As above, with the first origin fetch due at `now`.
inline TransferState StartTransfer(TransferMember self,
                                   uint32_t chunk_count,
                                   TransferLimits limits,
                                   TimePoint now) {
  return StartTransfer(std::move(self), chunk_count, limits, now, now);
}

/// Replaces the limits; the fetch window starts again at its full size.
void SetLimits(TransferState& state, TransferLimits limits);

/// Replaces the set of hosts that take part, which includes this host. Does
/// nothing if the set has not changed.
void SetMembers(TransferState& state,
                std::vector<TransferMember> members,
                TimePoint now,
                std::mt19937_64& random);

/// The followed `host` reported that it has `chunks`.
void RecordNeighbourChunks(TransferState& state,
                           const std::string& host,
                           const std::vector<uint32_t>& chunks,
                           TimePoint now);
/// Another host announced its fetches from the origin. Hosts announce when a
/// fetch begins, when it ends, and at intervals in between.
///
/// Load: an origin that did not answer for seconds, or whose link is saturated,
/// so that origin fetches take longer than the take-over delay
/// (m_takeover_delay). Harm: for each missing chunk the scheduled times of
/// several hosts have passed, and all of them fetch it; a link that carries
/// each chunk twice delivers the last one twice as late. Therefore hosts wait
/// for the host that began first, as long as it repeats its announcement.
///
/// Where limits.m_max_origin_fetches is set, chunks are fetched in order of
/// their number, at most that many at once across all hosts. By the schedule
/// alone, hosts that start late would each count its intervals from their own
/// start, while the origin's link is idle.
void RecordOriginFetches(TransferState& state,
                         const OriginFetchReport& report,
                         TimePoint now);
/// The connection for updates of `host` failed: another host is followed
/// instead.
void RecordNeighbourLoss(TransferState& state,
                         const std::string& host,
                         TimePoint now,
                         std::mt19937_64& random);

/// Some bytes of `chunk` were received.
void RecordChunkProgress(TransferState& state, uint32_t chunk, TimePoint now);
/// A verified chunk is stored, by a fetch or from an earlier transfer.
void RecordChunkArrival(TransferState& state, uint32_t chunk, TimePoint now);
/// A stored chunk was found corrupt and has to be fetched again.
void RecordChunkLoss(TransferState& state, uint32_t chunk, TimePoint now);
/// A fetch ended without a valid chunk; `corrupt`: data was received, but did
/// not match its digest.
void RecordChunkFailure(TransferState& state,
                        uint32_t chunk,
                        bool corrupt,
                        TimePoint now,
                        std::mt19937_64& random);

/// Returns the actions that are due. Called after each event and at least every
/// kTransferTick.
TransferActions Step(TransferState& state,
                     TimePoint now,
                     std::mt19937_64& random);

constexpr Duration kTransferTick = 50ms;

inline bool IsComplete(const TransferState& state) {
  return state.m_have_count == state.m_chunks.size();
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_H_
