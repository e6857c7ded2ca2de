#ifndef VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCHES_H_
#define VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCHES_H_

#include <random>

#include "decide/transfer/transfer_state.h"

namespace verbenalead::decide {

/// Decides which chunks this host fetches from the origin, and when.

/// Starts origin fetches that are due, of chunks that no neighbour is known to
/// have. Each chunk is to be fetched by one host. All hosts do this at the same
/// time, and each duplicate fetch is billed and takes bandwidth of the origin's
/// link from a chunk that no host has yet.
void StartDueOriginFetches(TransferState& state,
                           TimePoint now,
                           TransferActions& actions);

/// Fetches the first chunks that no host has or is fetching, without waiting
/// for their scheduled time, as many as the limit m_max_origin_fetches permits.
/// All hosts go through the chunks in the same order, so that each chunk is
/// fetched by the host of rank 0, or by the next one if that host is dead or
/// late.
void StartOriginFetchesInOrder(TransferState& state,
                               TimePoint now,
                               TransferActions& actions);

/// Requests a chunk from an unavailable origin when it is this host's turn. See
/// OriginProbe.
void StartOriginProbe(TransferState& state,
                      TimePoint now,
                      TransferActions& actions);

/// Uses the remaining origin budget at the end of a time-first transfer. A host
/// that lacks only a few chunks waits in the upload queues of its neighbours
/// while the origin's link, which has delivered all first copies, is idle. The
/// host may use its share of the budget beyond the first copies to fetch from
/// the origin the chunks that it has waited for longest.
void StartSpareOriginFetches(TransferState& state,
                             TimePoint now,
                             TransferActions& actions);

/// A fetch from the origin delivered a chunk, to this host or to one that
/// announced it: the origin is available.
void RecordOriginSuccess(TransferState& state, TimePoint now);

/// The head of an answer of the origin was received, or a host announced that
/// the origin answers again. Returns whether it was unavailable until now: then
/// all hosts fetch the missing chunks in order. Fetches that still wait for an
/// answer are cancelled if their connections may hang, or if another host comes
/// first for the chunk.
bool RecordOriginAnswer(TransferState& state, TimePoint now);

/// An origin fetch ended without a valid chunk; `corrupt`: data was received,
/// but did not match its digest.
void RecordOriginFailure(TransferState& state,
                         uint32_t chunk,
                         bool corrupt,
                         TimePoint now,
                         std::mt19937_64& random);

/// This host's share of the origin fetches beyond the first copies. The
/// remainder of the division is assigned at random, so that the sum over all
/// hosts is correct on average.
uint32_t ShareOfSpareFetches(const TransferState& state,
                             std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCHES_H_
