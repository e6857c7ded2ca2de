#ifndef VERBENALEAD_DECIDE_TRANSFER_DRAWS_H_
#define VERBENALEAD_DECIDE_TRANSFER_DRAWS_H_

#include <random>

#include "decide/transfer_state.h"

namespace verbenalead::decide {

/// Which chunks of a transfer this host draws from the origin, and when.

/// Chunks whose turn has come and that no neighbour is known to have. Each is
/// drawn by one host: load of all hosts at once, where every doubled draw is
/// paid for and takes the origin's link from a first copy.
void DrawDue(TransferState& state, TimePoint now, TransferActions& actions);

/// The first chunks that nobody has and nobody draws are drawn without waiting
/// for their time, as many as the origin's link has room for. All hosts count
/// in the same order, so that each chunk is taken by the host that it is for,
/// or by the next one if that host is dead or late.
void DrawInOrder(TransferState& state, TimePoint now, TransferActions& actions);

/// The end of a time-first transfer: a host that lacks few chunks waits in its
/// neighbours' queues while the origin's link, done with the first copies,
/// stands idle. It may draw its share of the budget's surplus there, in place
/// of what it has waited for longest.
void DrawSpare(TransferState& state, TimePoint now, TransferActions& actions);

/// A draw of this host, or one that another told of, brought a chunk: the
/// origin gives.
void NoteDrawn(TransferState& state, TimePoint now);

/// A draw ended without a good chunk; `corrupt`: bytes came, but wrong ones.
void DrawFailed(TransferState& state,
                uint32_t chunk,
                bool corrupt,
                TimePoint now,
                std::mt19937_64& random);

/// This host's part of the draws beyond the first copy. The remainder of the
/// division goes to hosts by chance, so that the sum is right on the mean.
uint32_t SpareDraws(const TransferState& state, std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_DRAWS_H_
