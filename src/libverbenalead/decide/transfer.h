#ifndef VERBENALEAD_DECIDE_TRANSFER_H_
#define VERBENALEAD_DECIDE_TRANSFER_H_

#include <random>
#include <string>
#include <vector>

#include "decide/draw_report.h"
#include "decide/transfer_state.h"

namespace verbenalead::decide {

/// Decides how the chunks of one version come to one host while hundreds of
/// others want them too. Events are told as they come; Step says what to do:
///
///     TransferState state = StartTransfer(self, chunks, limits, now);
///     SetMembers(state, live_hosts, now, random);
///     NeighbourHas(state, "host-7", {0, 3}, now);
///     for (const FetchChunk& fetch : Step(state, now, random).m_fetches) ...
///
/// Each chunk is drawn from the origin by one host, the first by rendezvous
/// hash; crosses into each other region through one host, the first there by
/// the same hash; and goes on by rarest-first pull among neighbours.
///
/// Costs: news of a chunk O(neighbours) for the name and O(log chunks) for the
/// schedule; Step O(1) while nothing is due or all fetches are under way, else
/// O(chunks looked at), of which most often the first will do. SetMembers costs
/// O(chunks x hosts) hashes of 2 ns and is called when hosts change.
///
/// `scheduled`: when the first chunk is due, the same on all hosts where they
/// know it. Failure: hosts hear of a version one by one, and each counts its
/// draws from then. Symptom: the last chunks leave the origin as late as the
/// last host heard, while its link stood idle before.
TransferState StartTransfer(TransferMember self,
                            uint32_t chunk_count,
                            TransferLimits limits,
                            TimePoint now,
                            TimePoint scheduled);
/// The same where the draws are due from now on.
inline TransferState StartTransfer(TransferMember self,
                                   uint32_t chunk_count,
                                   TransferLimits limits,
                                   TimePoint now) {
  return StartTransfer(std::move(self), chunk_count, limits, now, now);
}

/// Sets other bounds for what is under way.
void SetLimits(TransferState& state, TransferLimits limits);

/// Sets who takes part, this host included, when that has changed.
void SetMembers(TransferState& state,
                std::vector<TransferMember> members,
                TimePoint now,
                std::mt19937_64& random);

/// News that the followed `host` has `chunks`.
void NeighbourHas(TransferState& state,
                  const std::string& host,
                  const std::vector<uint32_t>& chunks,
                  TimePoint now);
/// Another host tells of its draws from the origin, when they begin and end
/// and in between.
///
/// Load: an origin that was away for seconds, or whose link is full, so that
/// draws take longer than the patience. Harm: the turns of several hosts have
/// come for each chunk that is missing; all of them draw it, and a link that
/// carries each chunk twice brings the last one twice as late. They wait for
/// the one that began, as long as it goes on saying so. And hosts that begin
/// late would each count their draws from then, while the link stands idle:
/// where limits.m_draws_at_once is set, chunks are drawn in their order, so
/// many at once.
void HostDraws(TransferState& state, const DrawReport& report, TimePoint now);
/// News of `host` can't be had: it is replaced by another one.
void NeighbourLost(TransferState& state,
                   const std::string& host,
                   TimePoint now,
                   std::mt19937_64& random);

/// Some bytes of `chunk` came in.
void ChunkProgress(TransferState& state, uint32_t chunk, TimePoint now);
/// A verified chunk is here, by a fetch or from an earlier transfer.
void ChunkArrived(TransferState& state, uint32_t chunk, TimePoint now);
/// A chunk that was here has gone bad, and is wanted again.
void ChunkLost(TransferState& state, uint32_t chunk, TimePoint now);
/// A fetch ended without a good chunk; `corrupt`: bytes came, but wrong ones.
void ChunkFailed(TransferState& state,
                 uint32_t chunk,
                 bool corrupt,
                 TimePoint now,
                 std::mt19937_64& random);

/// What to do now. Called after events and at least every kTransferTick.
TransferActions Step(TransferState& state,
                     TimePoint now,
                     std::mt19937_64& random);

constexpr Duration kTransferTick = 50ms;

inline bool IsComplete(const TransferState& state) {
  return state.m_have_count == state.m_chunks.size();
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_H_
